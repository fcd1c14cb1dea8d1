"""Forecasts which share of new requests will pass a waiting one.

Load: a burst of two kinds of stream of different priority that lasts longer
than the less urgent ones can wait. All new requests of the more urgent kind
pass them, so they are refused at once; none of the less urgent kind passes the
more urgent ones, so these go on waiting. In the same way new requests
that exceed the share of their customer pass only one another.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from mustardscale.peers.peer_messages import AdmitRequest


class QueueClass(NamedTuple):
    """Requests that only slack orders; the smallest class goes first.

    Attributes:
        priority: their priority.
        is_ahead: whether they exceed the shares of their customers.
    """

    priority: int
    is_ahead: bool


def find_class(request: AdmitRequest, is_ahead: bool) -> QueueClass:
    """Returns the class of a request.

    Args:
        request: the request.
        is_ahead: whether it exceeds the share of its customer or service. That
            of a service is no class, as the number of requests that pass is
            learnt for all services together.
    """
    return QueueClass(request.priority, is_ahead and bool(request.customer))


def compute_passing_share(
    arrivals_by_class: Mapping[QueueClass, float],
    queue_class: QueueClass,
    place_share: float,
) -> float:
    """Returns the share of all new requests that pass a waiting one.

    Args:
        arrivals_by_class: new requests a second.
        queue_class: class of the waiting request.
        place_share: its place among the waiting requests of its class, 0 for
            the first; this share of new requests of its class passes it.
    """
    if arrivals_by_class.keys() <= {queue_class}:
        return place_share
    total = sum(arrivals_by_class.values())
    equal = arrivals_by_class.get(queue_class, 0.0)
    before = sum(
        rate for other, rate in arrivals_by_class.items() if other < queue_class
    )
    return (before + place_share * equal) / total
