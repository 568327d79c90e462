"""Calls as the policy modules see them: kind of work, priority and rank."""

from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Final, Literal

Priority = Literal['highest', 'high', 'normal', 'low', 'lowest']
_PRIORITY_RANKS: Final = MappingProxyType(
    {'lowest': 0, 'low': 2, 'normal': 4, 'high': 6, 'highest': 8},
)
MAX_RANK: Final = 9


class Lane(Enum):
    """Kind of slot that a call takes."""

    SHORT = 'short'
    LONG = 'long'


@dataclass(frozen=True, slots=True)
class Call:
    """A call offered to the guard of an upstream.

    Attributes:
        call_id: Unique identifier of this attempt.
        route: Name of the route; run times are learned by it.
        work: Expected run time from the route.
        priority: Order of shedding from the route.
        is_idempotent: Whether it may run more than once.
        deadline_s: When the caller gives up, on the clock of the guard.
        may_spill: Whether a guard without a free slot refuses it at once as
            `busy`, since another upstream may have one.
    """

    call_id: str
    route: str
    work: Literal['short', 'long', 'learned']
    priority: Priority
    is_idempotent: bool
    deadline_s: float
    may_spill: bool = False

    @property
    def rank(self) -> int:
        """Rank in queues: the lowest is shed first."""
        return rank_of(self.priority, self.is_idempotent)


def rank_of(priority: str, is_idempotent: bool) -> int:
    """Returns the rank of a call, from 0 to `MAX_RANK`.

    At equal priority idempotent calls are shed first, because they are cheap
    to send again.
    """
    return _PRIORITY_RANKS[priority] + (not is_idempotent)
