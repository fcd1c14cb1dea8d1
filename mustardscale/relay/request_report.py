"""Logs and counts each request at its end."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.routes import Route, ServiceSpec
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.relay.relay_context import compute_deadline
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.relay.stream_relay import RelayedStream, first_event_s
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics

# Rate limits in one line of the log at most.
MAX_LOGGED_LIMITS = 8
# Segments of a prompt in one line of the log at most.
MAX_LOGGED_SEGMENTS = 16
# Service name under which requests without a matching route are counted.
NO_SERVICE = 'none'


class RequestReport:
    """Collects what is logged and counted of a request at its end.

    Attributes:
        outcome: how it ended.
        error: the error that ended it, or None.
        route: its route, None if none matched.
        service: the service that was chosen, None if none was.
        stream: the stream of the answer, None for plain services.
        status: status of the endpoint's answer, 0 if there was none.
        endpoint_id: the endpoint that answered, '' if none did.
        framing: what marks the end of its answer, '' if there was none.
    """

    __slots__ = (
        '_blackboard',
        '_metrics',
        '_request',
        'endpoint_id',
        'error',
        'framing',
        'outcome',
        'route',
        'service',
        'status',
        'stream',
    )

    def __init__(
        self, blackboard: Blackboard, metrics: Metrics, request: RelayRequest
    ):
        self._blackboard = blackboard
        self._metrics = metrics
        self._request = request
        self.outcome = Outcome.COMPLETE
        self.error: OutcomeError | None = None
        self.route: Route | None = None
        self.service: ServiceSpec | None = None
        self.stream: RelayedStream | None = None
        self.status = 0
        self.endpoint_id = ''
        self.framing = ''

    def log_and_count(self) -> None:
        """Logs the end of the request and counts it."""
        request = self._request
        age_s = asyncio.get_running_loop().time() - request.arrived_at
        service = self.service.name if self.service else ''
        self._metrics.service(service or NO_SERVICE).count_outcome(self.outcome)
        fields: dict[str, Any] = {
            'route': self.route.name if self.route else '',
            'service': service,
            'age_s': round(age_s, 4),
        }
        if request.customer is not None:
            fields['customer'] = request.customer.name
        if request.resumes:
            fields['resumes'] = request.resumes
        if self.stream is not None:
            fields['version'] = self.stream.version
        if request.segments:
            fields['segments'] = request.segments[:MAX_LOGGED_SEGMENTS]
        if self.outcome is Outcome.COMPLETE:
            kind = EventKind.REQUEST_SERVED
            fields |= self._answer_fields(service, age_s)
        else:
            kind = EventKind.REQUEST_FAILED
            if outcome_class(self.outcome) is OutcomeClass.NOT_RUN:
                kind = EventKind.REQUEST_REFUSED
            fields |= self._failure_fields()
        self._blackboard.events.emit(kind, request.id, self.outcome, **fields)

    def _answer_fields(self, service: str, age_s: float) -> dict[str, Any]:
        """Returns the log fields of an answer.

        Also records the time to the first event, or of a whole answer.
        """
        fields: dict[str, Any] = {
            'status': self.status,
            'endpoint': self.endpoint_id,
            'framing': self.framing,
            'config_version': self._blackboard.config.routes.table.version,
        }
        first_s = age_s if self.stream is None else first_event_s(self.stream)
        if math.isfinite(first_s):
            self._metrics.service(service).first_token.record(first_s)
            fields['first_s'] = round(first_s, 4)
        size = self._request.size
        if self.stream is not None and size is not None:
            fields['tokens'] = (
                size.prompt_tokens,
                size.output_hint_tokens,
                self.stream.served.relayed_tokens,
                size.max_output_tokens,
            )
        return fields

    def _rate_limit_fields(self, service: str) -> dict[str, object]:
        """Returns the rate limits that bind the service's endpoints.

        Of each one the requests a second, the age of the statement, and the
        seconds until this host may ask for a permit again.
        """
        now = asyncio.get_running_loop().time()
        fields: dict[str, object] = {}
        for endpoint in self._blackboard.endpoints_by_id.values():
            limit = endpoint.notice.rate_limit
            if endpoint.service != service or limit is None:
                continue
            if limit.in_force and len(fields) < MAX_LOGGED_LIMITS:
                fields[endpoint.id] = {
                    'per_s': limit.per_s,
                    'age_s': round(now - limit.stated_at, 3),
                    'wait_s': round(
                        max(0.0, endpoint.notice.closed_until - now), 3
                    ),
                }
        return fields

    def _failure_fields(self) -> dict[str, Any]:
        """Returns the log fields of a refusal or failure."""
        fields: dict[str, Any] = {}
        if self.route is not None:
            deadline_at = compute_deadline(self._request, self.route)
            deadline_s = deadline_at - self._request.arrived_at
            fields['deadline_s'] = round(deadline_s, 3)
        if self.service is not None:
            fields['rate_limits'] = self._rate_limit_fields(self.service.name)
        if self.error is not None:
            fields['detail'] = self.error.detail
            fields['retry_after_s'] = self.error.retry_after_s
        return fields
