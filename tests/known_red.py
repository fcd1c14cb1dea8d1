"""Reads KNOWN-RED.txt, the list of tests that fail for a known fault.

An entry is a paragraph of `name: value` lines; `test` gives the test's id.
"""

from __future__ import annotations

import dataclasses
import pathlib

FIELDS = ('test', 'command', 'seed', 'seen', 'issue')


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry.

    Attributes:
        test: id of the test, as pytest prints it.
        command: command that shows the failure.
        seed: seed, or 'none'.
        seen: what was seen.
        issue: number of the open issue.
    """

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read_known_red(path: pathlib.Path) -> list[KnownRed]:
    """Reads the entries; none if there is no file.

    Raises:
        ValueError: an entry lacks a field or has one too many.
    """
    if not path.exists():
        return []
    paragraphs = path.read_text().strip().split('\n\n')
    return [_entry(paragraph) for paragraph in paragraphs if paragraph]


def _entry(paragraph: str) -> KnownRed:
    pairs = [line.partition(':') for line in paragraph.splitlines()]
    values = {name.strip(): value.strip() for name, _, value in pairs}
    if sorted(values) != sorted(FIELDS):
        raise ValueError(f'KNOWN-RED.txt: wrong fields in {paragraph!r}')
    return KnownRed(**values)
