"""Predicts when KV transfers on links of limited rate will finish."""

from __future__ import annotations

import collections
import dataclasses

# Number of recent transfers from which a link's rate is learnt.
RATE_SAMPLES = 4


@dataclasses.dataclass(slots=True)
class Transfer:
    """A booked transfer.

    Attributes:
        source: endpoint that sends.
        destination: endpoint that receives.
        size_bytes: size.
        start: predicted loop time of the beginning, when the data is ready and
            both links are free.
        finish: predicted loop time of the end.
        alone: whether neither link has had another transfer booked at the
            same time.
        ready: loop time at which the source will have the data.
    """

    source: str
    destination: str
    size_bytes: int
    start: float
    finish: float
    alone: bool
    ready: float = 0.0


class Link:
    """One endpoint's link.

    Attributes:
        nominal_bytes_per_s: rate that the endpoint reports.
        transfer_ids: ids of the unfinished transfers booked on the link.
    """

    __slots__ = ('_observed', 'nominal_bytes_per_s', 'transfer_ids')

    def __init__(self, nominal_bytes_per_s: float):
        self.nominal_bytes_per_s = nominal_bytes_per_s
        self.transfer_ids: set[str] = set()
        self._observed: collections.deque[float] = collections.deque(
            maxlen=RATE_SAMPLES
        )

    @property
    def bytes_per_s(self) -> float:
        """Learnt rate.

        This is the rate of the fastest of the recent transfers. Single slow
        transfers may be due to the link at the other end.
        """
        if len(self._observed) < RATE_SAMPLES:
            return self.nominal_bytes_per_s
        return min(self.nominal_bytes_per_s, max(self._observed))

    def observe(self, bytes_per_s: float) -> None:
        """Records the rate of a transfer that did not share the link."""
        self._observed.append(bytes_per_s)


class LinkSchedule:
    """Transfers booked on the links of endpoints.

    The schedule assumes that a link carries its transfers one after another.
    If they share the link in fact, the last one still ends at the time
    predicted here, so the prediction for a new transfer is an upper bound.
    """

    __slots__ = ('_default_bytes_per_s', '_link_by_endpoint', '_transfer_by_id')

    def __init__(self, default_bytes_per_s: float):
        self._default_bytes_per_s = default_bytes_per_s
        self._link_by_endpoint: dict[str, Link] = {}
        self._transfer_by_id: dict[str, Transfer] = {}

    def set_rate(self, endpoint: str, bytes_per_s: float) -> None:
        """Sets the rate that an endpoint reports for its link."""
        self._link(endpoint).nominal_bytes_per_s = bytes_per_s

    def max_bytes_per_s(self) -> float:
        """Returns the rate of the fastest link, bytes a second."""
        rates = [
            link.nominal_bytes_per_s for link in self._link_by_endpoint.values()
        ]
        return max([self._default_bytes_per_s, *rates])

    def predict(
        self,
        source: str,
        destination: str,
        size_bytes: int,
        ready: float,
        now: float,
    ) -> float:
        """Predicts when a transfer would finish.

        Args:
            source: endpoint that sends.
            destination: endpoint that receives.
            size_bytes: size.
            ready: loop time at which the source will have the data.
            now: loop time.
        """
        start = self._start(source, destination, ready, now)
        return start + size_bytes / self.rate(source, destination)

    def book(
        self,
        transfer_id: str,
        source: str,
        destination: str,
        size_bytes: int,
        ready: float,
        now: float,
    ) -> float:
        """Books a transfer and returns its predicted finish."""
        self.drop(transfer_id)
        start = self._start(source, destination, ready, now)
        finish = start + size_bytes / self.rate(source, destination)
        links = (self._link(source), self._link(destination))
        alone = not any(link.transfer_ids for link in links)
        self._transfer_by_id[transfer_id] = Transfer(
            source, destination, size_bytes, start, finish, alone, ready
        )
        for link in links:
            for other in link.transfer_ids:
                self._transfer_by_id[other].alone = False
            link.transfer_ids.add(transfer_id)
        return finish

    def begin(self, transfer_id: str, now: float) -> None:
        """Moves the prediction of a transfer that begins now."""
        transfer = self._transfer_by_id.get(transfer_id)
        if transfer is None:
            return
        duration = transfer.finish - transfer.start
        transfer.start = now
        transfer.finish = now + duration

    def mark_ready(self, transfer_id: str, now: float) -> None:
        """Records that a transfer's data is ready and reschedules all.

        Transfers are scheduled in the order in which their data is ready.
        """
        transfer = self._transfer_by_id.get(transfer_id)
        if transfer is None:
            return
        transfer.ready = now
        free_at_by_endpoint: dict[str, float] = {}
        for other in sorted(
            self._transfer_by_id.values(), key=lambda item: item.ready
        ):
            ends = (other.source, other.destination)
            start = max(
                other.ready, *(free_at_by_endpoint.get(end, 0) for end in ends)
            )
            other.start = start
            other.finish = start + other.size_bytes / self.rate(*ends)
            for end in ends:
                free_at_by_endpoint[end] = other.finish

    def free_at(self, endpoint: str, now: float) -> float:
        """Predicts when all transfers booked on a link will have ended."""
        finishes = [
            self._transfer_by_id[transfer_id].finish
            for transfer_id in self._link(endpoint).transfer_ids
        ]
        return max([now, *finishes])

    def rate(self, source: str, destination: str) -> float:
        """Returns the rate between two endpoints, bytes a second."""
        return min(
            self._link(source).bytes_per_s, self._link(destination).bytes_per_s
        )

    def finish(self, transfer_id: str, now: float) -> None:
        """Frees the links of a finished transfer and learns their rate."""
        transfer = self.drop(transfer_id)
        if transfer is None or not transfer.alone or now <= transfer.start:
            return
        rate = transfer.size_bytes / (now - transfer.start)
        self._link(transfer.source).observe(rate)
        self._link(transfer.destination).observe(rate)

    def drop(self, transfer_id: str) -> Transfer | None:
        """Frees the links of a transfer, for example one that failed.

        Returns:
            The transfer, None if it is not known.
        """
        transfer = self._transfer_by_id.pop(transfer_id, None)
        if transfer is not None:
            for endpoint in (transfer.source, transfer.destination):
                self._link(endpoint).transfer_ids.discard(transfer_id)
        return transfer

    def _link(self, endpoint: str) -> Link:
        link = self._link_by_endpoint.get(endpoint)
        if link is None:
            link = Link(self._default_bytes_per_s)
            self._link_by_endpoint[endpoint] = link
        return link

    def _start(
        self, source: str, destination: str, ready: float, now: float
    ) -> float:
        start = max(ready, now)
        for endpoint in (source, destination):
            for transfer_id in self._link(endpoint).transfer_ids:
                # The predicted finish of an overdue transfer is in the past,
                # but it still uses the link: start is never before now.
                start = max(start, self._transfer_by_id[transfer_id].finish)
        return start
