"""Fair sharing of an upstream by client accounts.

It answers accounts that send many times their usual demand, bursts of one kind
of request and callers that retry at once: each of them would otherwise fill
the queue, and small accounts would lose their calls to it.

Start-time fair queueing: each call gets the virtual time at which it would
start if all accounts were served at once by their weights. An account that
sends more than its share gets times far ahead, so that its calls are queued
last and displaced first. An account that was idle starts at the present virtual
time and neither saves share nor owes any. What an account leaves unused goes to
the others, because virtual time advances with the calls that are started.
"""

from collections import OrderedDict
from dataclasses import dataclass
from math import exp, inf
from typing import Any

from waxwingsaddle.call_class import Call, CallAccount
from waxwingsaddle.config_models import MAX_RATE_PER_S

# Accounts (in queues: by rank) that are remembered; the least recently active
# ones are forgotten.
MAX_REMEMBERED = 512
# One call in a quarter of an hour.
_MIN_WEIGHT = 0.001
# Calls of an account that start at the present virtual time although they come
# faster than its share, so that accounts with few calls need not send them
# evenly. More of them would let an account that floods the queue keep a lead.
_CREDIT_CALLS = 2
# Weight of an arriving call in the mean weight of accounts.
_WEIGHT_SMOOTHING = 0.01
# Time constant in which counts of calls fade, in seconds. A shorter one forgets
# the calls of small accounts, which send a call to one guard every few seconds.
_FADE_S = 10
# An account is favored while it is served less than this share as often as all
# accounts; the promise is a quarter.
_FLOOR_SHARE = 0.3
# Fewer calls say nothing about how often an account is served.
_MIN_OFFERED = 2


class AccountShares:
    """Virtual start times of the calls in one queue.

    Until a call has an account, all calls start at time 0, so that their order
    does not depend on this class. After that, calls without an account share
    like one account of average weight.

    Each rank has a virtual time of its own, because low ranks get only what
    higher ones leave: with a common one, the calls of high rank would make
    those of an account that sends too much look overdue.
    """

    def __init__(self) -> None:
        self._mean_weight = 0.0
        # Virtual time by rank, and when the next call of an account and rank
        # starts at the earliest.
        self._now: dict[int, float] = {}
        self._next_times: OrderedDict[tuple[int, str], float] = OrderedDict()

    @property
    def is_active(self) -> bool:
        """Whether a call has had an account."""
        return bool(self._mean_weight)

    def observe(self, account: CallAccount | None) -> None:
        """Records the weight of the account of a call that has arrived."""
        if account is None:
            return
        smoothing = _WEIGHT_SMOOTHING if self.is_active else 1
        self._mean_weight += smoothing * (
            weight_of(account) - self._mean_weight
        )

    def next_time(self, call: Call, run_s: float) -> float:
        """Returns the virtual start time that a call would get now.

        Args:
            call: The call.
            run_s: Expected run time, in seconds.
        """
        if not self.is_active:
            return 0
        credit = _CREDIT_CALLS * run_s / self._weight_of(call)
        now = self._now.get(call.rank, 0)
        return max(now - credit, self._next_times.get(flow_of(call), -inf))

    def charge(self, call: Call, run_s: float) -> None:
        """Charges a call to its account when it is queued or admitted.

        Args:
            call: The call.
            run_s: Expected run time, in seconds.
        """
        if not self.is_active:
            return
        cost = run_s / self._weight_of(call)
        self._set_next(call, self.next_time(call, run_s) + cost)

    def admit(self, call: Call, run_s: float) -> None:
        """Charges and starts a call that is not queued.

        Args:
            call: The call.
            run_s: Expected run time, in seconds.
        """
        start_time = self.next_time(call, run_s)
        self.charge(call, run_s)
        self.start(call, start_time)

    def refund(self, call: Call, last_time: float) -> None:
        """Takes back the charge of a call that leaves the queue unserved.

        Args:
            call: The call.
            last_time: Latest virtual start time of the queued calls of the
                account and rank, the call included.
        """
        if self.is_active:
            self._set_next(call, last_time)

    def start(self, call: Call, start_time: float) -> None:
        """Advances virtual time to that of a call that is started."""
        if self.is_active:
            now = self._now.get(call.rank, 0)
            self._now[call.rank] = max(now, start_time)

    def _weight_of(self, call: Call) -> float:
        return weight_of(call.account) if call.account else self._mean_weight

    def _set_next(self, call: Call, next_time: float) -> None:
        flow = flow_of(call)
        self._next_times[flow] = next_time
        self._next_times.move_to_end(flow)
        _forget_oldest(self._next_times)


@dataclass(slots=True)
class _Counts:
    """Calls of one account, or of all; recent ones count more.

    Attributes:
        offered: Calls that arrived.
        served: Calls that were started.
        updated_s: Monotonic time of the last update, in seconds.
    """

    offered: float = 0
    served: float = 0
    updated_s: float = 0

    def fade(self, now_s: float) -> None:
        """Lowers the counts by the time that has passed."""
        factor = exp((self.updated_s - now_s) / _FADE_S)
        self.offered *= factor
        self.served *= factor
        self.updated_s = now_s


class ServedFloor:
    """Finds accounts that are served far less often than all are.

    Priorities and weights alone would never serve the lowest account while the
    others fill the upstream, nor more than a tiny part of the calls of an
    account with many times its usual demand.
    """

    def __init__(self) -> None:
        self._by_account: OrderedDict[str, _Counts] = OrderedDict()
        self._total = _Counts()

    def offer(self, account: CallAccount | None, now_s: float) -> bool:
        """Counts a call that has arrived.

        Returns:
            Whether its account is favored over all ranks.
        """
        if account is None:
            return False
        counts = self._counts_of(account)
        for updated in (counts, self._total):
            updated.fade(now_s)
            updated.offered += 1
        if counts.offered < _MIN_OFFERED:
            return False
        # The call itself does not count as refused yet.
        share_of_all = self._total.served / self._total.offered
        floor = _FLOOR_SHARE * share_of_all * (counts.offered - 1)
        return counts.served < floor

    def start(self, account: CallAccount | None) -> None:
        """Counts a call that is started."""
        if account is not None:
            self._counts_of(account).served += 1
            self._total.served += 1

    def _counts_of(self, account: CallAccount) -> _Counts:
        counts = self._by_account.setdefault(account.name, _Counts())
        self._by_account.move_to_end(account.name)
        _forget_oldest(self._by_account)
        return counts


def weight_of(account: CallAccount) -> float:
    """Returns the weight of an account within bounds for the arithmetic.

    Other nodes send the weight, and an operator may set a rate near 0.
    """
    return min(MAX_RATE_PER_S, max(_MIN_WEIGHT, account.weight))


def flow_of(call: Call) -> tuple[int, str]:
    """Returns rank and account of a call, within which calls share."""
    return call.rank, call.account.name if call.account else ''


def _forget_oldest(entries: OrderedDict[Any, Any]) -> None:
    if len(entries) > MAX_REMEMBERED:
        entries.popitem(last=False)
