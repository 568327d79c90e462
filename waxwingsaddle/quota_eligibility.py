"""Whether a control host may create tokens.

The first of the voters of the replicated log, as many as the settings want,
each create an equal part of the tokens. A host may be cut off and not learn
that another one has taken its place; it therefore stops some time after the
last proof that it is a member, and its successor begins later than that.
"""

from dataclasses import dataclass

from waxwingsaddle.quota_limits import EXPIRY_S

# A host cut off from the majority goes on for this time.
CUT_OFF_S = 20.0
# A successor begins later than the host before it has stopped and the tokens
# that nodes hold have expired. A removed member may hear the old leader for
# some seconds more; this covers the longest election.
SUCCESSION_S = CUT_OFF_S + EXPIRY_S + 10
# A proof of membership is believed when it has been renewed for this time: a
# host that was cut off gets the log entry that removes it within it.
_SETTLE_S = 3.0
# A host that has restarted reads its membership from its disk and gets the
# entries that it lacks with the first messages of the leader. It then creates
# few tokens until those from before its restart are void.
_RESTART_SETTLE_S = 1.0
# No host is replaced within this time after its start.
_START_S = 10.0
_FRESH_S = 2.0


@dataclass(slots=True)
class QuotaEligibility:
    """Right of this host to create tokens, over time.

    Attributes:
        started_at_s: Start of the process, on the clock passed to `update`.
        was_holder: Whether this host had the right when its process started:
            by the log on its disk, or because the log is being formed.
        holder_since_s: Since when the log names this host; None if it doesn't.
        proven_since_s: Since when proofs have been fresh; None after a gap.
        is_active: Whether this host may create and grant tokens.
        has_begun: Whether it has had the right, or slept, since the start.
    """

    started_at_s: float
    was_holder: bool
    holder_since_s: float | None = None
    proven_since_s: float | None = None
    is_active: bool = False
    has_begun: bool = False

    def update(
        self, is_holder: bool | None, proof_age_s: float, now_s: float
    ) -> bool:
        """Returns whether this host may create tokens.

        Args:
            is_holder: Whether the log names this host; None while the log has
                no members.
            proof_age_s: Time since the last proof of contact with a majority.
            now_s: Current time.
        """
        if is_holder is None:
            return False
        if not is_holder:
            self.was_holder = False
            self.holder_since_s = None
        elif self.holder_since_s is None:
            self.holder_since_s = now_s
        if proof_age_s > CUT_OFF_S or not is_holder:
            self.is_active = False
        if proof_age_s > _FRESH_S:
            self.proven_since_s = None
        elif self.proven_since_s is None:
            self.proven_since_s = now_s
        if not self.is_active:
            self.is_active = self._may_begin(now_s)
            self.has_begun |= self.is_active
        return self.is_active

    @property
    def old_until_s(self) -> float:
        """Until when nodes may hold tokens from before the restart."""
        return self.started_at_s + EXPIRY_S

    def suspend(self) -> None:
        """Ends the right until it is proven again, after the host slept."""
        self.is_active = False
        self.has_begun = True
        self.proven_since_s = None

    def _is_starting(self, now_s: float) -> bool:
        """Returns whether the host still knows its membership from its disk."""
        is_recent = now_s - self.started_at_s < _START_S
        return is_recent and self.was_holder and not self.has_begun

    def _may_begin(self, now_s: float) -> bool:
        if self.holder_since_s is None or self.proven_since_s is None:
            return False
        proven_s = now_s - self.proven_since_s
        settle_s = _RESTART_SETTLE_S if self._is_starting(now_s) else _SETTLE_S
        if proven_s < settle_s:
            return False
        return self.was_holder or now_s - self.holder_since_s >= SUCCESSION_S
