"""Keeps which keys of requests have survived on this host."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

from mustardscale.quarantine.crash_evidence import NEVER, Survival

# Maximum number of keys whose last survival this host remembers.
MAX_SURVIVED_KEYS = 20_000
# A survival is shared if it is later than the known one by this, seconds.
SURVIVAL_STEP_S = 1.0


class OwnSurvivals:
    """The last survival of each key on this host.

    Only keys that were in flight at a crash are of interest to peers. They are
    few, and are kept apart so that not all keys of all crashes are searched.
    """

    __slots__ = ('_at_by_crash_key', '_at_by_key', '_crash_keys')

    def __init__(self) -> None:
        # All survivals, oldest first.
        self._at_by_key: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._crash_keys: set[str] = set()
        # Those of them whose key was in flight at a crash.
        self._at_by_crash_key: dict[str, float] = {}

    def add(self, key: str, at: float) -> None:
        """Adds a survival, which is not older than those before.

        Args:
            key: the key.
            at: loop time.
        """
        self._at_by_key[key] = at
        self._at_by_key.move_to_end(key)
        if key in self._crash_keys:
            self._at_by_crash_key[key] = at
        if len(self._at_by_key) > MAX_SURVIVED_KEYS:
            oldest, _ = self._at_by_key.popitem(last=False)
            self._at_by_crash_key.pop(oldest, None)

    def add_crash_keys(self, keys: Iterable[str]) -> None:
        """Adds keys that were in flight at a crash."""
        for key in keys:
            if key in self._crash_keys:
                continue
            self._crash_keys.add(key)
            at = self._at_by_key.get(key)
            if at is not None:
                self._at_by_crash_key[key] = at

    def keep_crash_keys(self, keys: set[str]) -> None:
        """Forgets that other keys than these were in flight at a crash."""
        self._crash_keys &= keys
        self._at_by_crash_key = {
            key: at for key, at in self._at_by_crash_key.items() if key in keys
        }

    def find_unshared(
        self, shared_by_key: Mapping[str, Survival]
    ) -> list[tuple[str, float]]:
        """Returns the survivals of crash keys that peers may not know.

        Args:
            shared_by_key: the last survival of each key that is shared.

        Returns:
            Keys and loop times.
        """
        found = []
        for key, at in self._at_by_crash_key.items():
            shared = shared_by_key.get(key)
            shared_at = shared.at if shared is not None else NEVER
            if at > shared_at + SURVIVAL_STEP_S:
                found.append((key, at))
        return found
