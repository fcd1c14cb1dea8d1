"""Cases that show that a promise is broken without a certain mechanism.

Each case names a promise, the mechanism that it needs, and the faults under
which the promise is broken when the mechanism is disabled.
docs/promises.md lists the cases.
"""

import dataclasses

from mustardscale.blackboard import EndpointEntry
from mustardscale.claims.claims_controller import Claims
from mustardscale.configuration.config_state import ConfigState
from mustardscale.configuration.config_sync import ConfigPeerController
from mustardscale.directory import directory_home as directory
from mustardscale.directory.directory_home import DirectoryHome
from mustardscale.endpoints.cancellation import Canceller
from mustardscale.endpoints.token_assembler import TokenAssembler
from mustardscale.hosts.membership import HeartbeatController
from mustardscale.policy import decode_capacity
from mustardscale.requests import language
from mustardscale.requests.resumption import Resumption
from mustardscale.router import Router
from standins import expected_answers, fault_callers, fault_runs
from standins.fault_plan import Fault, FaultKind
from standins.promise_checks import Promise


def do_nothing(*_):
    return None


async def do_nothing_async(*_):
    return None


def fault(kind, target=3, lasts_s=8.0, at=8.0):
    return Fault(kind, at, lasts_s, target, 1)


def faults_on_targets(kind, targets, *times):
    return [fault(kind, target, *times) for target in targets]


async def claim_without_log(claims, request_id, fingerprint, known_s):
    return claims._new_record(request_id, fingerprint)


async def stop_immediately(router, notice_s, timeout_s):
    return True


def return_in_arrival_order(assembler, event):
    assembler.next_index = event.index + len(event.texts)
    assembler.finish_reason = event.finish_reason
    return event.texts


# End of the arrivals of requests in cases that list their faults, seconds.
ARRIVALS_END_S = 18.0
_fold = ConfigState._fold


def fold_from_any_version(state, offset, change):
    change = dataclasses.replace(change, base=state.version(change.key))
    return _fold(state, offset, change)


def holder_is_heard(home, row):
    entry = row.entry
    board = home._blackboard
    if entry.host == board.host:
        return entry.incarnation == board.incarnation
    host = board.hosts_by_id.get(entry.host)
    heard = host is not None and not host.silent
    return heard and host.incarnation == entry.incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A mechanism and the promise that is broken without it.

    Attributes:
        promise: the promise that is broken without the mechanism.
        replacements: (owner, name, replacement) of each attribute that is
            replaced to disable the mechanism.
        faults: faults of the run, None for those that the seed draws.
        seed: seed of the run.
        long_answers: whether answers take longer than the time within which
            the memory of a stream must be freed.
    """

    promise: Promise
    replacements: tuple[tuple[object, str, object], ...]
    faults: list[Fault] | None = dataclasses.field(default_factory=list)
    seed: int = 7
    long_answers: bool = False

    def switch_off(self, monkeypatch):
        """Disables the mechanism."""
        for owner, name, replacement in self.replacements:
            monkeypatch.setattr(owner, name, replacement)

    def set_up(self, monkeypatch):
        """Sets the length of the run and of its answers.

        This applies to the run with the mechanism and to the one without it.
        """
        if self.faults is not None:
            monkeypatch.setattr(fault_runs, 'FAULTS_END_S', ARRIVALS_END_S)
        if self.long_answers:
            profile = dataclasses.replace(
                fault_runs.LANGUAGE_PROFILE,
                max_output_tokens=1000,
                timeout_s=60.0,
            )
            monkeypatch.setattr(fault_runs, 'LANGUAGE_PROFILE', profile)
            monkeypatch.setattr(fault_callers, 'MAX_TOKENS', 1000)
            monkeypatch.setattr(expected_answers, '_LENGTH_MU', 6.5)


CASE_BY_NAME = {
    'cancel': Case(
        Promise.MEMORY_FREED,
        ((Canceller, 'cancel', do_nothing),),
        long_answers=True,
    ),
    'directory': Case(
        Promise.ANSWERED_ONCE,
        ((directory, 'may_replace', lambda _: True),),
    ),
    'order_of_tokens': Case(
        Promise.WHOLE_ANSWER,
        ((TokenAssembler, 'add', return_in_arrival_order),),
        [fault(FaultKind.TOKEN_EVENTS_DISTURBED)],
    ),
    'truth_after_start': Case(
        Promise.NOT_RUN_IS_TRUE,
        ((language, '_correct_outcome', lambda error, started: error),),
        faults_on_targets(FaultKind.ENGINE_KILLED, (0, 1), 8.0, 10.0),
    ),
    'claims': Case(
        Promise.AT_MOST_ONCE,
        ((Claims, 'claim', claim_without_log),),
        [fault(FaultKind.HOST_KILLED), fault(FaultKind.PLAIN_ANSWERS_LOST)],
    ),
    'leaving_engine': Case(
        Promise.LEAVING_LEFT_ALONE,
        ((EndpointEntry, 'leaving', lambda *_: False),),
        [fault(FaultKind.ENGINE_LEAVING)],
    ),
    'leaving_endpoint': Case(
        Promise.LEAVING_LEFT_ALONE,
        ((EndpointEntry, 'leaving', lambda *_: False),),
        [fault(FaultKind.PLAIN_LEAVING)],
    ),
    'drain': Case(
        Promise.DRAIN_CUTS_NOTHING,
        ((Router, 'drain', stop_immediately),),
        faults_on_targets(FaultKind.HOST_DRAINED, range(3), 8.0, 10.0),
    ),
    'version_made_from': Case(
        Promise.PROFILES_IN_FORCE,
        ((ConfigState, '_fold', fold_from_any_version),),
    ),
    'copies_from_peers': Case(
        Promise.PROFILES_IN_FORCE,
        ((ConfigPeerController, 'hosts_ahead', lambda _: []),),
        [fault(FaultKind.HOST_CUT_FROM_LOG, lasts_s=10.0)],
    ),
    'forgetting_slow_steps': Case(
        Promise.RECOVERS,
        ((decode_capacity, 'IDLE_FADE', 0.0),),
        faults_on_targets(FaultKind.ENGINE_SLOW, range(5), 12.0, 6.0),
    ),
}

# Cases of seeds that broke a promise once. Whether a seed still reaches that
# situation depends on the timing of all other code, so only their traces are
# tested.
SEED_CASE_BY_NAME = {
    'sign_of_life': Case(
        Promise.ANSWERED_ONCE,
        ((DirectoryHome, '_holder_is_live', holder_is_heard),),
        None,
        641,
    ),
    'words_of_peers': Case(
        Promise.ANSWERED_ONCE,
        (
            (HeartbeatController, '_merge_peer_report', do_nothing),
            (Resumption, '_release_through_peers', do_nothing_async),
        ),
        None,
        485,
    ),
}
