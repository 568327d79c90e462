"""Class of a call for admission control: lane, priority and rank."""

from dataclasses import dataclass
from enum import Enum
from math import inf
from types import MappingProxyType
from typing import Final, Literal, NamedTuple

Priority = Literal['highest', 'high', 'normal', 'low', 'lowest']
# In steps of two, since calls that are not idempotent rank one higher.
_PRIORITY_RANKS: Final = MappingProxyType(
    {'lowest': -2, 'low': 0, 'normal': 2, 'high': 4, 'highest': 6},
)
# Difference between the priorities of accounts in the rank of a call; above the
# range of the ranks of routes.
_ACCOUNT_STEP: Final = 10
# Calls of this rank or higher may use a concurrency bound in full.
FULL_RANK: Final = 5


class Lane(Enum):
    """Kind of slot that a call uses, by expected run time."""

    SHORT = 'short'
    LONG = 'long'

    # Members are dictionary keys in each guard, and hashing by identity is
    # faster than `Enum.__hash__`, which hashes the name.
    __hash__ = object.__hash__


class CallAccount(NamedTuple):
    """The client account on whose behalf a call is made.

    Attributes:
        name: Name of the account.
        priority: Its priority, which goes before that of the route; empty if
            it has none.
        weight: Its share of scarce room, relative to other accounts.
    """

    name: str
    priority: Priority | Literal[''] = ''
    weight: float = 1


@dataclass(slots=True)
class Call:
    """A call offered to the guard of an upstream.

    Attributes:
        call_id: Unique identifier of this attempt.
        route: Name of the route; run times are learned per route.
        work: Lane that the route configures, or `learned`.
        priority: Priority that the route configures.
        is_idempotent: Whether the call may run more than once.
        deadline_s: When the caller gives up, on the clock of the guard.
        may_spill: Whether a guard without a free slot refuses the call at once
            as `busy`, since another upstream may have one.
        origin: Service of the host at which the call began; empty if unknown.
        due_s: End of the latency objective, on the clock of the guard;
            infinite without an objective.
        account: Client account of the caller; None without one.
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
    account: CallAccount | None = None

    @property
    def rank(self) -> int:
        """Rank in the queues; the lowest rank is shed first.

        Calls of one priority with an objective have the same rank, idempotent
        or not: a read that another upstream waits for is as urgent as a
        booking. Their objectives order them. The priority of the account goes
        before that of the route.
        """
        has_objective = self.due_s < inf
        route_rank = rank_of(self.priority, self.is_idempotent or has_objective)
        priority = effective_priority(self.account, self.priority)
        return _PRIORITY_RANKS[priority] * _ACCOUNT_STEP + route_rank


def effective_priority(
    account: CallAccount | None, route_priority: Priority
) -> Priority:
    """Returns the priority of the account, or that of the route without it."""
    return (account and account.priority) or route_priority


def rank_of(priority: str, is_idempotent: bool) -> int:
    """Returns the rank of a call; the lowest rank is shed first.

    At equal priority idempotent calls are shed first, because they are cheap
    to retry.
    """
    return _PRIORITY_RANKS[priority] + (not is_idempotent)
