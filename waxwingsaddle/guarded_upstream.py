"""An upstream of this node with its guard, its HTTP client and its silence."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from waxwingsaddle.announcements import Announcement
from waxwingsaddle.call_class import Call
from waxwingsaddle.guard import Admitted, Guard, GuardPolicy
from waxwingsaddle.upstream_client import UpstreamClient
from waxwingsaddle.upstream_silence import UpstreamSilence
from waxwingsaddle.util.outcome import Outcome


@dataclass(slots=True)
class GuardedUpstream:
    """An upstream with its guard and its HTTP client.

    Attributes:
        announcement: What it announced last.
        guard: Its admission control.
        client: Sends requests to it.
        clock: Returns the monotonic time, in seconds.
        silence: What may still run there, and which calls wait in vain.
    """

    announcement: Announcement
    guard: Guard
    client: UpstreamClient
    clock: Callable[[], float]
    silence: UpstreamSilence = field(init=False)
    _policy: GuardPolicy = field(default_factory=GuardPolicy)

    def __post_init__(self) -> None:
        """Creates the state of an upstream that has shown nothing."""
        self.silence = UpstreamSilence(self.announcement.slots)

    def configure(self, policy: GuardPolicy) -> tuple[Admitted, ...]:
        """Applies the announced slots and tunables.

        Returns:
            The queued calls that get a slot now.
        """
        self._policy = policy
        slots = self.announcement.slots
        self.silence.slots = slots
        if self._is_spared:
            # Nothing is sent that it would have to queue.
            policy = replace(policy, ahead_percent=0)
            slots = self.silence.allowed(slots, self.clock())
        return self.guard.configure(slots, policy)

    def send(self, call: Call) -> None:
        """Records that an admitted call is sent."""
        self.silence.send(call.call_id, call.route, self.clock())

    def answer(self, call: Call) -> None:
        """Records that the answer to a call has begun."""
        self.silence.end(call.call_id, Outcome.RAN, self.clock())

    def finish(
        self, call_id: str, outcome: Outcome, elapsed_s: float
    ) -> tuple[Admitted, ...]:
        """Releases the slot of a call, unless it may still run.

        Returns:
            The queued calls to send now.
        """
        self.silence.end(call_id, outcome, self.clock())
        spared = self.configure(self._policy) if self._is_spared else ()
        return spared + self.guard.finish_call(call_id, outcome, elapsed_s)

    def silent_calls(self) -> tuple[str, ...]:
        """Returns the calls that wait in vain, after an answer to another."""
        return self.silence.silent(self.clock()) if self._is_spared else ()

    @property
    def _is_spared(self) -> bool:
        """Whether the upstream is of this kind and is not taken at its word.

        Elsewhere, upstreams refuse what they can't queue.
        """
        return self._policy.is_learned and self.silence.is_shown
