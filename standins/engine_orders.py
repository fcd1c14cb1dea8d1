"""Carries out the orders given to the model engine stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from mustardscale.endpoints.engines import (
    REFUSED_FENCED,
    EngineOrder,
    EngineRole,
)
from mustardscale.exceptions import EndpointRefusedError
from standins.engine_parameters import EngineCounters, EngineParameters

ModelLoader = Callable[[str, str], Awaitable[None]]


class OrderDesk:
    """Knows the role and the model, and changes them on orders.

    Attributes:
        role: current role.
        model: model loaded, '' while one loads.
        model_version: version of that model.
        adapters: adapters loaded.
        term: fencing number of the last order carried out.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        counters: EngineCounters,
        load_model: ModelLoader | None,
        on_model_change: Callable[[], None],
    ):
        """Starts with the role and model of the settings.

        Args:
            parameters: the settings.
            counters: where orders carried out are noted.
            load_model: reads a model and version from the weight store.
            on_model_change: called when another model is to be loaded.
        """
        self._parameters = parameters
        self._counters = counters
        self._load_model = load_model
        self._on_model_change = on_model_change
        self._task: asyncio.Task[None] | None = None
        self._accepted_term = 0
        self._reset()

    def serves(self, role: EngineRole, model: str) -> bool:
        """Returns whether work for this role and model is taken."""
        return self.role is role and self.model == model

    def accept(self, order: EngineOrder) -> None:
        """Begins to carry out an order in place of an earlier one.

        Raises:
            EndpointRefusedError: its term is old and terms are checked.
        """
        if self._parameters.checks_fencing and order.term < self._accepted_term:
            self._counters.orders_refused += 1
            raise EndpointRefusedError(REFUSED_FENCED)
        self._accepted_term = order.term
        self.close()
        self._task = asyncio.create_task(self._carry_out(order))

    async def settled(self) -> None:
        """Waits until the order accepted last is carried out."""
        if self._task is not None:
            await asyncio.shield(self._task)

    def restart(self) -> None:
        """Loses the order in progress and all that orders have changed."""
        self.close()
        self._reset()

    def _reset(self) -> None:
        self.role = self._parameters.role
        self.model = self._parameters.model
        self.model_version = self._parameters.model_version
        self.adapters: tuple[str, ...] = ()
        self.term = 0
        self._accepted_term = 0

    def close(self) -> None:
        """Gives up the order that is being carried out."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _carry_out(self, order: EngineOrder) -> None:
        wanted = (order.model, order.model_version)
        if wanted != (self.model, self.model_version):
            self.model = ''
            self._on_model_change()
            if self._load_model is not None:
                await self._load_model(order.model, order.model_version)
        await asyncio.sleep(self._parameters.order_s)
        self.role = order.role
        self.model = order.model
        self.model_version = order.model_version
        self.adapters = order.adapters
        self.term = order.term
        self._counters.orders_done.append(order)
