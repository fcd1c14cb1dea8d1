"""The command that replays a recorded trace."""

from __future__ import annotations

from mustardscale.exceptions import SettingError
from mustardscale.exit_codes import ExitCode


def replay_trace(path: str, as_json: bool) -> ExitCode:
    """Replays a trace and states the outcome of each request.

    Raises:
        SettingError: replay is not available yet.
    """
    raise SettingError(f'replay {path}: this version cannot replay traces yet')
