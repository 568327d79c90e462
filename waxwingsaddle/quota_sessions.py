"""Sessions of nodes with an allocator, and the tokens they hold."""

from dataclasses import dataclass, field

from waxwingsaddle.quota_messages import QuotaNeed


@dataclass(slots=True)
class Holding:
    """Counters of an account in a session of a node."""

    granted: int = 0
    used: int = 0
    returned: int = 0
    ahead: int = 0

    @property
    def outstanding(self) -> int:
        """Tokens that are not accounted for."""
        return self.granted - self.used - self.returned


@dataclass(slots=True)
class Session:
    """Tokens of one node since it last held none."""

    number: int
    expires_at_s: float
    holdings: dict[str, Holding] = field(default_factory=dict)


def is_inconsistent(session: Session, need: QuotaNeed) -> bool:
    """Returns whether a node reports more tokens than it got.

    This happens when the account was forgotten and has returned since.
    """
    holding = session.holdings.get(need.account, Holding())
    return need.used + need.returned > holding.granted


def take_due(sessions: list[Session], now_s: float) -> list[Session]:
    """Removes the sessions that have expired, and returns them."""
    due = [session for session in sessions if session.expires_at_s <= now_s]
    for session in due:
        sessions.remove(session)
    return due
