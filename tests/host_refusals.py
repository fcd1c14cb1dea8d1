"""Callers that send a request again until a worker has run it."""

import asyncio
import collections
import json

from mustardscale.outcomes import (
    TEXT_BY_OUTCOME,
    Outcome,
    OutcomeClass,
    outcome_class,
)

# Sends of one request at most.
MAX_SENDS = 8


def list_send_ids(request_id):
    """Returns the ids of all sends of a request."""
    return [f'{request_id}.{number}' for number in range(MAX_SENDS)]


def require_refusal(status, content, whole, send_id):
    """Requires that an answer is the host's refusal of a request not run.

    Returns:
        The seconds after which its caller may send it again.
    """
    assert whole
    problem = json.loads(content)
    outcome = Outcome(problem['code'])
    assert outcome_class(outcome) is OutcomeClass.NOT_RUN
    assert status in (429, 503, 504)
    assert status == problem['status'] == TEXT_BY_OUTCOME[outcome].http_status
    assert problem['title'] == outcome.name
    assert problem['request_id'] == send_id
    return problem['retry_after'] or 0.0


def says_not_run(content):
    """Returns whether an answer is the host's, for a request not run."""
    try:
        problem = json.loads(content)
        outcome = Outcome(problem['code'])
    except (ValueError, TypeError, KeyError):
        return False
    return outcome_class(outcome) is OutcomeClass.NOT_RUN


class PersistentCaller:
    """Sends requests to a site until one of its workers has run them.

    A host refuses a request that reached no worker in time, as where the
    test's process was paused. Such a request is no case of a test of answers,
    and its caller may send it again.

    Attributes:
        workers: lists as `ran_ids` what the workers that may run them ran.
        answered_ids: ids of the sends whose runs were answered.
    """

    def __init__(self, workers):
        self.workers = workers
        self.answered_ids = []

    async def ask(self, request_id, send):
        """Returns the answer of a run.

        Args:
            request_id: id of the request; each send has its own.
            send: sends a request under an id, and returns status, content and
                whether the answer looks whole.
        """
        for send_id in list_send_ids(request_id):
            answer = await send(send_id)
            if send_id in self.workers.ran_ids:
                assert not says_not_run(answer[1])
                self.answered_ids.append(send_id)
                return answer
            await asyncio.sleep(require_refusal(*answer, send_id))
        raise AssertionError(f'{request_id} was refused {MAX_SENDS} times')

    def require_no_other_run(self, repeated_ids=(), resumed_ids=()):
        """Requires that no request ran twice, and none that was refused.

        Args:
            repeated_ids: ids of the sends that may have run once more, so that
                the end of their answers was told.
            resumed_ids: the id of each run that went on after an event, of
                which each of these sends may have had one besides.
        """
        resumed = collections.Counter(resumed_ids)
        assert set(resumed) <= set(repeated_ids)
        assert set(resumed.values()) <= {1}
        others = collections.Counter(self.workers.ran_ids)
        others.subtract(self.answered_ids)
        others.subtract(resumed)
        assert {send_id for send_id, runs in others.items() if runs} <= set(
            repeated_ids
        )
        assert set(others.values()) <= {0, 1}
