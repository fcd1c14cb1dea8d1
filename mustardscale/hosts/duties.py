"""Chooses the host that has a duty, such as the ownership of a pool."""

from __future__ import annotations

from collections.abc import Iterable

from mustardscale.blackboard import Blackboard
from mustardscale.hosts.rendezvous import weighted_owner, weighted_rank

# The weight of a host is its capacity to this power. A duty takes the same work
# on any host, so small hosts get duties only where there are few large ones.
CAPACITY_EXPONENT = 4.0
# Lower bound of a host's capacity in the weights, usual cores.
MIN_CAPACITY = 0.05


def rank_hosts(
    board: Blackboard, duty: str, host_ids: Iterable[str]
) -> list[str]:
    """Returns hosts by falling preference for a duty, mostly large ones first.

    Args:
        board: the blackboard, which has the capacity of each host.
        duty: name of the duty.
        host_ids: the hosts.
    """
    return weighted_rank(duty, _weights(board, host_ids))


def choose_host(board: Blackboard, duty: str, data_centre: str = '') -> str:
    """Returns the serving host that has a duty.

    Args:
        board: the blackboard, which has the hosts.
        duty: name of the duty.
        data_centre: data centre whose hosts are preferred, '' for none.
    """
    hosts = board.serving_hosts()
    local_hosts = [
        host for host in hosts if _host_data_centre(board, host) == data_centre
    ]
    return weighted_owner(duty, _weights(board, local_hosts or hosts))


def _weights(board: Blackboard, host_ids: Iterable[str]) -> dict[str, float]:
    """Returns the weight of each host."""
    return {
        host_id: max(MIN_CAPACITY, _capacity(board, host_id))
        ** CAPACITY_EXPONENT
        for host_id in host_ids
    }


def _capacity(board: Blackboard, host_id: str) -> float:
    if host_id == board.host:
        return board.capacity
    return board.hosts_by_id[host_id].capacity


def _host_data_centre(board: Blackboard, host_id: str) -> str:
    if host_id == board.host:
        return board.data_centre
    return board.hosts_by_id[host_id].data_centre
