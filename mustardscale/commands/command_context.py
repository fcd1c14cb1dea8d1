"""What the commands of the command-line tool work with."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import urllib.parse
from collections.abc import AsyncGenerator, Iterable, Sequence
from typing import Any, TextIO

import aiohttp
import tabulate

from mustardscale.commands.operators_client import OperatorsClient
from mustardscale.exceptions import SettingError
from mustardscale.hosts.host_list import HostList
from mustardscale.log.log_client import LogClient

TOKEN_VARIABLE = 'MUSTARDSCALE_OPERATORS_TOKEN'


@dataclasses.dataclass(slots=True)
class CommandContext:
    """The services that a command calls and where its answer goes.

    Attributes:
        log: the platform's log.
        host_list: the platform's host list.
        operators: client of the hosts' operators' pages.
        out: where the answer is written.
        as_json: whether the answer is for programs.
    """

    log: LogClient
    host_list: HostList
    operators: OperatorsClient
    out: TextIO
    as_json: bool = False

    def show_json(self, content: Any) -> None:
        """Writes a JSON value."""
        json.dump(content, self.out, indent=2, default=str)
        self.out.write('\n')

    def show_table(
        self, headers: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Writes a table, or for programs a list of objects."""
        if self.as_json:
            names = [header.replace(' ', '_') for header in headers]
            self.show_json([dict(zip(names, row, strict=True)) for row in rows])
            return
        table = tabulate.tabulate(list(rows), headers, disable_numparse=True)
        self.out.write(f'{table}\n')

    def show_text(self, text: str) -> None:
        """Writes a line for people; programs don't get it."""
        if not self.as_json:
            self.out.write(f'{text}\n')


@contextlib.asynccontextmanager
async def open_context(
    log_url: str, host_list_url: str, token: str, out: TextIO, as_json: bool
) -> AsyncGenerator[CommandContext, None]:
    """Opens the clients of the platform's services and of the hosts."""
    # Imported here so that --help and usage errors stay quick.
    from mustardscale.hosts.http_host_list import HttpHostList
    from mustardscale.log.http_log import HttpLogClient

    log = HttpLogClient(_address(log_url))
    host_list = HttpHostList(_address(host_list_url))
    try:
        async with aiohttp.ClientSession() as session:
            operators = OperatorsClient(session, token)
            yield CommandContext(log, host_list, operators, out, as_json)
    finally:
        await host_list.close()
        await log.close()


def read_token(path: str | None, variable: str | None) -> str:
    """Returns the operators' token from a file, or else the variable.

    Raises:
        SettingError: the file can't be read, or neither is given.
    """
    if path is not None:
        try:
            token = pathlib.Path(path).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise SettingError(
                f'--operators-token-file: {path!r} cannot be read: {error}'
            ) from error
    else:
        token = (variable or '').strip()
    if not token or not token.isascii() or not token.isprintable():
        raise SettingError(
            f'operators token: set {TOKEN_VARIABLE}, or name a file with it by'
            ' --operators-token-file'
        )
    return token


def _address(url: str) -> str:
    """Returns the 'ip:port' of a URL."""
    return urllib.parse.urlsplit(url).netloc
