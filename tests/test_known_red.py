"""The list of known failures."""

import pathlib
import shutil

import pytest

from tests.known_red import read_known_red

ENTRY = """test: tests/test_x.py::TestX::test_y
command: make test
seed: 7
seen: one violation
issue: 4
"""


class TestReading:
    """Reading KNOWN-RED.txt."""

    def test_no_file_means_no_entries(self, tmp_path):
        assert read_known_red(tmp_path / 'KNOWN-RED.txt') == []

    def test_entries_are_paragraphs(self, tmp_path):
        path = tmp_path / 'KNOWN-RED.txt'
        path.write_text(f'{ENTRY}\n{ENTRY.replace("test_y", "test_z")}')
        tests = [entry.test for entry in read_known_red(path)]
        assert [test[-6:] for test in tests] == ['test_y', 'test_z']

    def test_wrong_fields_are_named(self, tmp_path):
        path = tmp_path / 'KNOWN-RED.txt'
        path.write_text(ENTRY.replace('seed', 'sede'))
        with pytest.raises(ValueError, match='wrong fields'):
            read_known_red(path)


class TestMarking:
    """What pytest does with a listed test."""

    def test_failing_is_reported_and_passing_fails(self, pytester):
        folder = pytester.mkdir('tests')
        conftest = pathlib.Path(__file__).with_name('conftest.py')
        shutil.copy(conftest, folder)
        (folder / 'test_x.py').write_text(
            'def test_red(): assert 0\ndef test_mended(): pass\n'
        )
        listed = ENTRY.replace('TestX::test_y', 'test_red')
        also = ENTRY.replace('TestX::test_y', 'test_mended')
        (pytester.path / 'KNOWN-RED.txt').write_text(f'{listed}\n{also}')
        result = pytester.runpytest('-rx')
        result.assert_outcomes(xfailed=1, failed=1)
        result.stdout.fnmatch_lines(['*issue 4, seed 7: one violation*'])
