"""Earlier builds of the program, taken from the repository's history."""

from __future__ import annotations

import io
import pathlib
import subprocess
import tarfile

ROOT = pathlib.Path(__file__).resolve().parents[1]
PACKAGE = 'mustardscale'


def check_out(commit: str, directory: pathlib.Path) -> pathlib.Path:
    """Writes the package of a commit into a folder of its own.

    Args:
        commit: the commit, by any name that git knows.
        directory: where the folders of builds are kept.

    Returns:
        The folder, from which the package can be run.

    Raises:
        ValueError: the repository has no such commit, or it lacks the package.
    """
    name = _run_git('rev-parse', '--short', f'{commit}^{{commit}}')
    folder = (directory / name.decode().strip()).resolve()
    if not (folder / PACKAGE).is_dir():
        archive = _run_git('archive', '--format=tar', commit, PACKAGE)
        folder.mkdir(parents=True, exist_ok=True)
        with tarfile.open(fileobj=io.BytesIO(archive)) as files:
            files.extractall(folder, filter='data')
    return folder


def _run_git(*arguments: str) -> bytes:
    """Returns what a command of git prints.

    Raises:
        ValueError: it failed.
    """
    done = subprocess.run(
        ['git', '-C', str(ROOT), *arguments], capture_output=True, check=False
    )
    if done.returncode:
        raise ValueError(
            f'git {arguments[0]} of a build failed: '
            f'{done.stderr.decode().strip()}; name a commit of this '
            'repository, and fetch its history if the clone is shallow'
        )
    return done.stdout
