"""Calls as the policy modules see them: kind of work, priority and rank."""

from dataclasses import dataclass
from enum import Enum
from math import inf
from types import MappingProxyType
from typing import Final, Literal

Priority = Literal['highest', 'high', 'normal', 'low', 'lowest']
_PRIORITY_RANKS: Final = MappingProxyType(
    {'lowest': -2, 'low': 0, 'normal': 2, 'high': 4, 'highest': 6},
)
# Rank from which calls may use all of a bound.
FULL_RANK: Final = 5


class Lane(Enum):
    """Kind of slot that a call takes."""

    SHORT = 'short'
    LONG = 'long'

    # Members are keys of each guard; that of `Enum` hashes their names.
    __hash__ = object.__hash__


@dataclass(slots=True)
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
        origin: Service of the host at which the call began; empty when it is
            not known.
        due_s: Until when an answer serves its caller best, on the clock of
            the guard; infinite without an objective.
    """

    call_id: str
    route: str
    work: Literal['short', 'long', 'learned']
    priority: Priority
    is_idempotent: bool
    deadline_s: float
    may_spill: bool = False
    origin: str = ''
    due_s: float = inf

    @property
    def rank(self) -> int:
        """Rank in queues: the lowest is shed first.

        Calls of one priority that have an objective are ordered by it alone:
        a read that another upstream waits for is as urgent as a booking.
        """
        has_objective = self.due_s < inf
        return rank_of(self.priority, self.is_idempotent or has_objective)


def rank_of(priority: str, is_idempotent: bool) -> int:
    """Returns the rank of a call; the lowest is shed first.

    At equal priority idempotent calls are shed first, because they are cheap
    to send again.
    """
    return _PRIORITY_RANKS[priority] + (not is_idempotent)
