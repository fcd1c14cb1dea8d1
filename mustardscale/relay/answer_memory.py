"""Bounds the memory of answers that are buffered before they are passed on."""

from __future__ import annotations

import dataclasses

from mustardscale.exceptions import EndpointFailedError
from mustardscale.relay.relay_endpoint import EndpointAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits on the memory of buffered answers.

    Attributes:
        per_answer_bytes: maximum content of one answer.
        total_bytes: maximum total content of all answers that are being read.
    """

    per_answer_bytes: int = 4 * 1024 * 1024
    total_bytes: int = 16 * 1024 * 1024


class AnswerMemory:
    """Reads whole answers within the limits.

    The limits protect this process from a faulty endpoint that never stops
    sending.

    Attributes:
        used_bytes: bytes buffered of the answers that are being read now.
    """

    __slots__ = ('_limits', 'used_bytes')

    def __init__(self, limits: AnswerLimits):
        self._limits = limits
        self.used_bytes = 0

    async def read(self, answer: EndpointAnswer) -> bytes:
        """Returns the whole content of an answer.

        The answer is closed unless it was read to its end.

        Raises:
            EndpointFailedError: the answer broke off or exceeds a limit.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in answer.chunks():
                chunks.append(chunk)
                size += len(chunk)
                self.used_bytes += len(chunk)
                self._check(size)
            return b''.join(chunks)
        except BaseException:
            answer.close()
            raise
        finally:
            self.used_bytes -= size

    def _check(self, size: int) -> None:
        limits = self._limits
        if size > limits.per_answer_bytes:
            raise EndpointFailedError(
                f'answer above {limits.per_answer_bytes} bytes'
                ' (max-answer-bytes)'
            )
        if self.used_bytes > limits.total_bytes:
            raise EndpointFailedError(
                f'answers above {limits.total_bytes} bytes together'
                ' (max-all-answers-bytes)'
            )
