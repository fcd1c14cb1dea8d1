"""The ids of workers, which most of them change when they start again."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

# Share of the starts with a new id.
_NEW_SHARE = 0.5
# Time for which the entry of the former id stays listed, seconds: up to three
# heartbeat intervals after the end of its process.
_LISTED_S = (0.0, 3.0)


@dataclasses.dataclass(frozen=True, slots=True)
class FormerId:
    """An id that no process has any more.

    Attributes:
        id: the id.
        listed_s: seconds for which its entry stays listed.
    """

    id: str
    listed_s: float


class WorkerIds:
    """The present id of each worker."""

    def __init__(self, names: Iterable[str], rng: random.Random | None):
        """Begins with the name of each worker as its id.

        Args:
            names: the workers.
            rng: draws who gets a new id, None for nobody.
        """
        self._rng = rng
        self._id_by_name = {name: name for name in names}
        self._name_by_id = dict(self._id_by_name)

    def id_of(self, name: str) -> str:
        """Returns the present id of a worker."""
        return self._id_by_name[name]

    def name_of(self, worker_id: str) -> str:
        """Returns the worker that has an id, or had it."""
        return self._name_by_id[worker_id]

    def draw_former(self, name: str) -> FormerId | None:
        """Draws whether a worker starts again under a new id.

        Returns:
            The id that it had, None if it keeps it.
        """
        if self._rng is None or self._rng.random() >= _NEW_SHARE:
            return None
        former = self._id_by_name[name]
        new = f'{name}-{len(self._name_by_id)}'
        self._id_by_name[name] = new
        self._name_by_id[new] = name
        return FormerId(former, self._rng.uniform(*_LISTED_S))
