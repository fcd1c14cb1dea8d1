"""The options of `python -m standins.stream_runs`."""

from __future__ import annotations

import argparse
import pathlib

DESCRIPTION = """Runs streams through real processes under drawn troubles.

Each answer is judged at its caller, byte for byte, against what workers made.
"""
CALLERS = 16
HOSTS = 3
# Share of the answers that workers which run on close early.
CLOSED_SHARE = 0.05


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m standins.stream_runs', description=DESCRIPTION
    )
    parser.add_argument('--seeds', type=int, default=10, help='How many.')
    parser.add_argument('--first-seed', type=int, default=1, help='The first.')
    parser.add_argument(
        '--seconds', type=float, default=30.0, help='Time of a seed.'
    )
    parser.add_argument(
        '--cut-share',
        type=float,
        default=0.1,
        help='Share of the answers that workers cut short.',
    )
    parser.add_argument(
        '--closed-share',
        type=float,
        default=CLOSED_SHARE,
        help='Share of the answers that workers which run on close early.',
    )
    parser.add_argument(
        '--hosts', type=int, default=HOSTS, help='Entry hosts of a seed.'
    )
    parser.add_argument(
        '--callers', type=int, default=CALLERS, help='Callers of a seed.'
    )
    parser.add_argument(
        '--build', help='Commit whose build the hosts run, not this one.'
    )
    other = parser.add_mutually_exclusive_group()
    other.add_argument(
        '--beside', help='Commit whose build every second host runs.'
    )
    other.add_argument(
        '--production',
        help='Commit whose build the hosts run at first; they are replaced by '
        'this one in turn.',
    )
    other.add_argument(
        '--older',
        type=pathlib.Path,
        help='Folder of another build that every second host runs.',
    )
    parser.add_argument(
        '--keep', action='store_true', help='Keep the logs of all seeds.'
    )
    parser.add_argument(
        '--directory',
        type=pathlib.Path,
        default=pathlib.Path('build/streams'),
        help='Where the logs of broken seeds are kept.',
    )
    return parser
