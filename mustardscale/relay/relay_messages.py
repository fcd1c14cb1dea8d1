"""Requests and answers that are relayed unchanged."""

from __future__ import annotations

import dataclasses

import xxhash

from mustardscale.configuration.customers import Customer
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.engines import NO_PRIORITY
from mustardscale.quarantine.suspicion_keys import make_keys
from mustardscale.quotas.quota_gate import QuotaDraw

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Size of a request to engines as the caller declares it.

    Attributes:
        prompt_tokens: tokens of the prompt.
        max_output_tokens: maximum tokens of the answer.
        output_hint_tokens: the caller's estimate of the answer's tokens, 0 if
            it gives none.
    """

    prompt_tokens: int
    max_output_tokens: int
    output_hint_tokens: int = 0


@dataclasses.dataclass(slots=True)
class RelayRequest:
    """One send of a request. Its content is not interpreted.

    Attributes:
        id: the caller's id of this send.
        host: value of the Host header.
        method: HTTP method.
        target: path and query as received.
        headers: end-to-end headers that are passed on.
        body: the content.
        arrived_at: loop time at which the request arrived.
        timeout_s: seconds for which the caller waits, None if not declared.
        size: size for engines, None if the caller declares none.
        resume_after: id of the last event that the caller received, '' if none.
        resumes: id of the send that brought the first event of the stream that
            the caller takes up, '' if none.
        segments: ids of the segments of its prompt that other requests may
            share, in order.
        credential: the caller's key, '' if it presents none or more than one.
            It must not be logged.
        identity_headers: the headers by which the caller identifies itself.
            They are forwarded only where there are no customers.
        customer: the customer that the key belongs to, None if there are no
            customers or the caller presents no known key.
        draw: units drawn on the customer's quota, None if none were.
        priority: its priority, 0 is the most urgent; NO_PRIORITY where all
            requests of its service have the same one.
    """

    id: str
    host: str
    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    timeout_s: float | None = None
    size: SizeEstimate | None = None
    resume_after: str = ''
    resumes: str = ''
    segments: tuple[str, ...] = ()
    credential: str = dataclasses.field(default='', repr=False)
    identity_headers: Headers = dataclasses.field(default=(), repr=False)
    customer: Customer | None = None
    draw: QuotaDraw | None = None
    priority: int = NO_PRIORITY

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition('?')[0]

    @property
    def declared_tokens(self) -> int:
        """Tokens of prompt and longest answer, 0 if none are declared."""
        if self.size is None:
            return 0
        return self.size.prompt_tokens + self.size.max_output_tokens

    def suspicion_keys(self, service: str) -> tuple[str, ...]:
        """Returns the keys under which crashes count against the request."""
        return make_keys(service, self.id, self.fingerprint(), self.segments)

    def fingerprint(self) -> int:
        """Returns a 64-bit hash of method, target and body.

        A request that is sent again under another id has the same fingerprint.
        """
        digest = xxhash.xxh3_64(f'{self.method} {self.target} '.encode())
        digest.update(self.body)
        return digest.intdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The beginning of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: end-to-end headers.
    """

    status: int
    headers: Headers

    @property
    def is_success(self) -> bool:
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300

    def continues(self, first: AnswerHead) -> bool:
        """Returns whether its content may follow that of a first answer."""
        same_status = self.status == first.status
        return same_status and self._media_type() == first._media_type()

    @property
    def content_type(self) -> str:
        """The Content-Type, '' if none is stated."""
        for name, value in self.headers:
            if name.lower() == 'content-type':
                return value
        return ''

    def _media_type(self) -> str:
        return self.content_type.partition(';')[0].strip().lower()

    @property
    def is_server_error(self) -> bool:
        """Whether the status is a server error (5xx or above)."""
        return self.status >= 500


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An endpoint's whole answer.

    Attributes:
        head: status and headers.
        body: content.
        endpoint_id: the endpoint that answered.
        framing: what marked the end of its content.
    """

    head: AnswerHead
    body: bytes
    endpoint_id: str = ''
    framing: AnswerFraming = AnswerFraming.LENGTH
