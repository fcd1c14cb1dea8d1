"""Tests that the deploy file builds and starts from a clean checkout."""

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

from deploy.install import dependencies

ROOT = pathlib.Path(__file__).parents[1]
DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
BUILD_TIMEOUT_S = 900


def checkout(folder):
    """Copies the files that git tracks."""
    listed = subprocess.run(
        ['git', 'ls-files', '--cached', '--others', '--exclude-standard'],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    for name in listed.stdout.splitlines():
        if name.startswith('journal/') or not (ROOT / name).exists():
            continue
        target = folder / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, target)


class TestDeployFile:
    """The deploy file and what it names."""

    def test_dependencies_match_pyproject(self):
        project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
        assert dependencies() == project['project']['dependencies']

    def test_role_names_existing_template_and_command(self):
        (role,) = DEPLOY['roles'].values()
        assert (ROOT / role['template']).stat().st_size < 64 * 1024
        assert role['run'] == 'python3 -m mustardscale.platform'
        assert set(role['serves']) == {'edge', 'control_plane'}

    def test_a_clean_checkout_builds_and_starts(self, tmp_path):
        checkout(tmp_path)
        subprocess.run(
            DEPLOY['build'],
            shell=True,
            cwd=tmp_path,
            check=True,
            timeout=BUILD_TIMEOUT_S,
        )
        built = subprocess.run(
            [sys.executable, '-S', '-m', 'mustardscale.platform', '--bad'],
            cwd=tmp_path,
            env={**os.environ, 'PYTHONPATH': str(tmp_path / 'target/deps')},
            check=False,
            capture_output=True,
            text=True,
        )
        assert built.returncode == 2
        assert '--host-id (MUSTARDSCALE_HOST_ID): is not set' in built.stderr
        assert '--bad: unknown argument' in built.stderr
