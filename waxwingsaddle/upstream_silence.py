"""Detects upstreams that fall silent when they are full, and spares them.

Such an upstream never answers a request that it can't queue, nor anything later
on that connection. The load pattern is a burst after calls that were cancelled
or timed out: they still run there, and the next ones find no slot.

A call is taken for silent only if the upstream may have been full when the call
was sent, counting calls whose end nobody has seen; if it runs for much longer
than usual at this upstream; and if calls that were sent later have been
answered. An upstream is treated as one of this kind only after it has shown so.
"""

from dataclasses import dataclass, field
from math import inf

from waxwingsaddle.util.outcome import Outcome

# A few in a hundred calls take five to seven times the mean.
_SILENT_RATIO = 8
_MIN_SILENCE_S = 0.2
# Answers to calls that were sent later, which show that the upstream goes on.
_MIN_PROGRESS = 2
# Calls that ended like silent ones until the upstream counts as of this kind.
_SHOWN_AFTER = 2
# How long an abandoned call may go on, in expected run times.
_ABANDONED_RATIO = 3
# Run time expected of a route without answers, in seconds.
_UNKNOWN_RUN_S = 1
# Weight of the newest answer in the expected run time of its route.
_SMOOTHING = 0.1


@dataclass(slots=True)
class _Sent:
    """A call that was sent and has not been answered.

    Attributes:
        route: Name of its route.
        sent_s: When it was sent.
        expected_s: Expected run time at that time, in seconds.
        number: Number of calls sent before it.
        is_overfilling: Whether all slots may have been in use.
    """

    route: str
    sent_s: float
    expected_s: float
    number: int
    is_overfilling: bool


@dataclass(slots=True)
class UpstreamSilence:
    """What may still run at one upstream, and which calls wait in vain.

    Attributes:
        slots: Number of slots that the upstream announced.
        shown: Calls that ended like silent ones.
    """

    slots: int
    shown: int = 0
    _sent: dict[str, _Sent] = field(default_factory=dict)
    _expected_s: dict[str, float] = field(default_factory=dict)
    _count: int = 0
    # Numbers of the calls sent last that have been answered, as many as are
    # needed to see progress.
    _answered: list[int] = field(default_factory=list)
    # Times at which abandoned calls have probably ended.
    _abandoned_until_s: list[float] = field(default_factory=list)

    @property
    def is_shown(self) -> bool:
        """Whether the upstream has fallen silent before."""
        return self.shown >= _SHOWN_AFTER

    def allowed(self, slots: int, now_s: float) -> int:
        """Returns how many of the slots may be used.

        Args:
            slots: Slots of the upstream.
            now_s: Monotonic time, in seconds.
        """
        if not self.is_shown:
            return slots
        return max(1, slots - self._abandoned(now_s))

    def send(self, call_id: str, route: str, now_s: float) -> None:
        """Records that a call is sent.

        Args:
            call_id: Identifier of the call.
            route: Name of its route; run times are learned per route.
            now_s: Monotonic time, in seconds.
        """
        expected_s = self._expected_s.get(route, _UNKNOWN_RUN_S)
        occupied = len(self._sent) + self._abandoned(now_s)
        self._sent[call_id] = _Sent(
            route, now_s, expected_s, self._count, occupied >= self.slots
        )
        self._count += 1

    def end(self, call_id: str, outcome: Outcome, now_s: float) -> None:
        """Records the end of a call; its outcome tells whether it may go on."""
        sent = self._sent.pop(call_id, None)
        if sent is None:
            return
        if outcome in {Outcome.RAN, Outcome.NOT_RUN}:
            self._answered = sorted((*self._answered, sent.number))
            del self._answered[:-_MIN_PROGRESS]
            if outcome is Outcome.RAN:
                self._learn(sent.route, now_s - sent.sent_s)
            return
        self.shown += self._is_silent(sent, now_s)
        may_run_s = sent.expected_s * _ABANDONED_RATIO
        until_s = max(sent.sent_s, now_s - sent.expected_s) + may_run_s
        self._abandoned_until_s.append(until_s)

    def silent(self, now_s: float) -> tuple[str, ...]:
        """Returns the calls to abandon with their connections.

        Their outcome is unknown. Call it after an answer, as only that can
        show progress.
        """
        if not self.is_shown:
            return ()
        return tuple(
            call_id
            for call_id, sent in self._sent.items()
            if self._is_silent(sent, now_s)
        )

    def _learn(self, route: str, elapsed_s: float) -> None:
        expected_s = self._expected_s.get(route, elapsed_s)
        change_s = _SMOOTHING * (elapsed_s - expected_s)
        self._expected_s[route] = expected_s + change_s

    def _abandoned(self, now_s: float) -> int:
        self._abandoned_until_s = [
            until_s for until_s in self._abandoned_until_s if until_s > now_s
        ]
        return len(self._abandoned_until_s)

    def _is_silent(self, sent: _Sent, now_s: float) -> bool:
        patience_s = max(_MIN_SILENCE_S, sent.expected_s * _SILENT_RATIO)
        oldest = min(self._answered, default=-inf)
        has_progress = len(self._answered) == _MIN_PROGRESS
        return (
            sent.is_overfilling
            and now_s - sent.sent_s > patience_s
            and has_progress
            and oldest > sent.number
        )
