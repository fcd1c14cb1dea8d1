"""Command line entry point of the process on an edge machine."""

from __future__ import annotations

import sys

from mustardscale.exceptions import SettingError
from mustardscale.platform.entry import EXIT_SETTINGS, load_relay_settings, run


def main() -> None:
    """Loads the settings and runs the process.

    Each wrong setting is written to standard error, and the process exits
    with EXIT_SETTINGS.
    """
    try:
        settings = load_relay_settings()
    except* SettingError as group:
        for error in group.exceptions:
            sys.stderr.write(f'mustardscale.platform: {error}\n')
        sys.exit(EXIT_SETTINGS)
    run(settings)


if __name__ == '__main__':
    main()
