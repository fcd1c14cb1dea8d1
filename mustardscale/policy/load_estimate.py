"""Estimates the load of endpoints from delayed reports and own requests."""

from __future__ import annotations

import dataclasses

# Seconds for which finished work is kept to compare it with delayed reports.
HISTORY_S = 5.0
# Number of observations after which an old one's weight has fallen to 1/e.
FIT_DECAY_OBSERVATIONS = 100.0
# Number of observations that the prior line counts as.
FIT_PRIOR_WEIGHT = 4.0


class LineFit:
    """A straight line fitted to observations whose weight decays, with a prior.

    The prior counts as observations at two points on the prior line, and its
    weight does not decay. The slope and the intercept are at least 0.
    """

    __slots__ = ('_n', '_prior', '_sx', '_sxx', '_sxy', '_sy')

    def __init__(self, intercept: float, slope: float, typical_x: float):
        """Makes a fit.

        Args:
            intercept: prior value at 0.
            slope: prior slope.
            typical_x: scale of x; the prior points are 0 and twice this.
        """
        weight = FIT_PRIOR_WEIGHT / 2
        points = [
            (x, intercept + slope * x, weight) for x in (0.0, 2 * typical_x)
        ]
        self._prior = (
            sum(w for x, y, w in points),
            sum(w * x for x, y, w in points),
            sum(w * y for x, y, w in points),
            sum(w * x * x for x, y, w in points),
            sum(w * x * y for x, y, w in points),
        )
        self._n = self._sx = self._sy = self._sxx = self._sxy = 0.0

    def observe(self, x: float, y: float) -> None:
        """Adds an observation and lets the earlier ones decay."""
        self.fade(1 / FIT_DECAY_OBSERVATIONS)
        self._n += 1
        self._sx += x
        self._sy += y
        self._sxx += x * x
        self._sxy += x * y

    def fade(self, share: float) -> None:
        """Lowers the weight of all observations, but not that of the prior.

        Without new observations the line returns to the prior.

        Args:
            share: share of the weight that is lost, 0 to 1.
        """
        keep = 1 - share
        self._n *= keep
        self._sx *= keep
        self._sy *= keep
        self._sxx *= keep
        self._sxy *= keep

    def line(self) -> tuple[float, float]:
        """Returns the intercept and the slope."""
        n = self._n + self._prior[0]
        sx = self._sx + self._prior[1]
        sy = self._sy + self._prior[2]
        sxx = self._sxx + self._prior[3]
        sxy = self._sxy + self._prior[4]
        slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
        slope = max(0.0, slope)
        return max(0.0, (sy - slope * sx) / n), slope

    def value(self, x: float) -> float:
        """Returns the line's value at x."""
        intercept, slope = self.line()
        return intercept + slope * x


@dataclasses.dataclass(slots=True)
class _Work:
    """Work sent to an endpoint.

    Attributes:
        amount: amount of work, for example in tokens.
        sent: loop time at which it was sent.
        finished: loop time at which it was finished, None before.
    """

    amount: float
    sent: float
    finished: float | None = None


class SentWork:
    """Unfinished and recently finished work that we sent to one endpoint."""

    __slots__ = ('_finished', '_open_by_id')

    def __init__(self):
        self._open_by_id: dict[str, _Work] = {}
        self._finished: list[_Work] = []

    def __len__(self) -> int:
        """Returns the number of unfinished items of work."""
        return len(self._open_by_id)

    def send(self, work_id: str, amount: float, now: float) -> None:
        """Records work that is sent now."""
        self._open_by_id[work_id] = _Work(amount, now)

    def finish(self, work_id: str, now: float) -> float | None:
        """Records the end of work.

        Returns:
            Loop time at which it was sent, None for unknown work.
        """
        work = self._open_by_id.pop(work_id, None)
        if work is None:
            return None
        work.finished = now
        self._finished = [
            past
            for past in self._finished
            if past.finished is not None and past.finished > now - HISTORY_S
        ]
        self._finished.append(work)
        return work.sent

    def amount(self) -> float:
        """Returns the total amount of unfinished work."""
        return sum(work.amount for work in self._open_by_id.values())

    def oldest_amount(self) -> float:
        """Returns the amount of the oldest unfinished work, 0 for none."""
        for work in self._open_by_id.values():
            return work.amount
        return 0.0

    def amount_at(self, moment: float) -> float:
        """Returns the amount of work that was unfinished at an earlier time."""
        present = [
            work.amount
            for work in (*self._finished, *self._open_by_id.values())
            if work.sent <= moment
            and (work.finished is None or work.finished > moment)
        ]
        return sum(present)


class PrefillLoad:
    """The backlog of one endpoint that computes prefills one after another.

    Attributes:
        sent: prompts sent by this process, in tokens.
        fit: seconds of a prefill as a function of the tokens to compute.
    """

    __slots__ = ('_foreign_tokens', '_freed_at', '_reported_at', 'fit', 'sent')

    def __init__(self, fit: LineFit):
        self.sent = SentWork()
        self.fit = fit
        self._foreign_tokens = 0.0
        self._reported_at = float('-inf')
        self._freed_at = float('-inf')

    def report(self, queued_tokens: float, age_s: float, now: float) -> None:
        """Estimates the work of other senders from a load report.

        Args:
            queued_tokens: queued tokens at the time of the report.
            age_s: age of the report, seconds.
            now: loop time.
        """
        moment = now - age_s
        if moment < self._reported_at:
            return
        own = self.sent.amount_at(moment)
        self._foreign_tokens = max(0.0, queued_tokens - own)
        self._reported_at = moment

    def send(self, work_id: str, tokens: float, now: float) -> None:
        """Records a prefill that is sent now.

        Args:
            work_id: names it until it is finished.
            tokens: tokens that are expected to be computed.
            now: loop time.
        """
        if not self.sent:
            self._freed_at = max(self._freed_at, now)
        self.sent.send(work_id, tokens, now)

    def finish(self, work_id: str, computed_tokens: float, now: float) -> None:
        """Records the end of a prefill and learns from its duration."""
        sent = self.sent.finish(work_id, now)
        if sent is None:
            return
        if self._foreign_at(sent) <= 0:
            self.fit.observe(computed_tokens, now - max(sent, self._freed_at))
        self._freed_at = now

    def drop(self, work_id: str, now: float) -> None:
        """Records that a prefill was cancelled or failed."""
        if self.sent.finish(work_id, now) is not None:
            self._freed_at = now

    def backlog_s(self, now: float) -> float:
        """Returns the seconds until a prefill sent now would begin."""
        base, per_token = self.fit.line()
        own = self.sent.amount() * per_token + len(self.sent) * base
        if self.sent:
            head = self.sent.oldest_amount() * per_token + base
            own -= min(head, max(0.0, now - self._freed_at))
        return own + self._foreign_at(now) * per_token

    def backlog_tokens(self, now: float) -> float:
        """Returns the backlog less the computed part, in tokens."""
        _, per_token = self.fit.line()
        return self.backlog_s(now) / per_token if per_token > 0 else 0.0

    def _foreign_at(self, now: float) -> float:
        _, per_token = self.fit.line()
        if self._foreign_tokens <= 0 or per_token <= 0:
            return 0.0
        computed = (now - self._reported_at) / per_token
        return max(0.0, self._foreign_tokens - computed)


class DecodeLoad:
    """The decode batch of one endpoint.

    Attributes:
        sent: streams sent by this process, each of amount 1.
        fit: seconds of a step as a function of the streams in the batch.
    """

    __slots__ = ('_foreign', '_reported_at', 'fit', 'sent')

    def __init__(self, fit: LineFit):
        self.sent = SentWork()
        self.fit = fit
        self._foreign = 0.0
        self._reported_at = float('-inf')

    def report(
        self, active: int, step_s: float, age_s: float, now: float
    ) -> None:
        """Learns the step time and the streams of other senders from a report.

        Args:
            active: streams in the batch at the time of the report.
            step_s: time of a decode step, seconds, 0 if not known.
            age_s: age of the report, seconds.
            now: loop time.
        """
        moment = now - age_s
        if moment <= self._reported_at:
            return
        self._reported_at = moment
        own = self.sent.amount_at(moment)
        self._foreign = max(0.0, active - own)
        if active > 0 and step_s > 0:
            self.fit.observe(active, step_s)

    def active(self) -> float:
        """Returns the expected number of streams in the batch."""
        return self.sent.amount() + self._foreign

    def step_s(self, added: int = 0) -> float:
        """Returns the expected time of a step with further streams added."""
        return self.fit.value(self.active() + added)
