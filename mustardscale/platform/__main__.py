"""Reads the settings and runs the process of an edge machine."""

from __future__ import annotations

import sys

from mustardscale.exceptions import SettingError
from mustardscale.platform.entry import EXIT_SETTINGS, load_relay_settings, run


def main() -> None:
    """Reads the settings and runs the process."""
    try:
        settings = load_relay_settings()
    except* SettingError as group:
        for error in group.exceptions:
            sys.stderr.write(f'mustardscale.platform: {error}\n')
        sys.exit(EXIT_SETTINGS)
    run(settings)


if __name__ == '__main__':
    main()
