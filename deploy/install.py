"""Installs the package's dependencies, as pyproject.toml lists them."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]


def dependencies() -> list[str]:
    """Returns the requirements of the package at run time."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    return list(project['dependencies'])


def main() -> int:
    """Installs into the folder that the command line names."""
    target = pathlib.Path(sys.argv[1])
    command = [
        *(sys.executable, '-m', 'pip', 'install', '--quiet', '--upgrade'),
        *('--disable-pip-version-check', '--target', str(target)),
        *dependencies(),
    ]
    code = subprocess.run(command, check=False).returncode
    if code == 0:
        target.touch()
    return code


if __name__ == '__main__':
    sys.exit(main())
