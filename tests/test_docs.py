"""The docs agree with the code."""

import pathlib
import re

import pytest

from mustardscale.commands.exit_codes import exit_code_table
from mustardscale.outcomes import TEXT_BY_OUTCOME, Outcome, outcome_table

ROOT = pathlib.Path(__file__).parents[1]
PAGES = [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]
LINK = re.compile(r'\]\(([^)#:]+)\)')


class TestTables:
    """Tables made from declarations."""

    def test_every_outcome_has_a_text(self):
        assert set(TEXT_BY_OUTCOME) == set(Outcome)

    @pytest.mark.parametrize(
        ('page', 'table'),
        [
            ('docs/user/result-codes.md', outcome_table()),
            ('docs/user/operators.md', exit_code_table()),
        ],
    )
    def test_page_shows_the_table(self, page, table):
        assert table in (ROOT / page).read_text()


class TestLinks:
    """Links between pages."""

    @pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
    def test_targets_exist(self, page):
        targets = LINK.findall(page.read_text())
        missing = [
            target for target in targets if not (page.parent / target).exists()
        ]
        assert missing == []
