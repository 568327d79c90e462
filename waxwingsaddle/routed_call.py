"""A call of the node API that has a route."""

from dataclasses import dataclass

from waxwingsaddle.call_class import CallAccount
from waxwingsaddle.calls import HeaderPairs
from waxwingsaddle.routing import Match


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call that has a route and may be served.

    Attributes:
        match: Its route.
        headers: Header fields to forward.
        arrived_s: When it arrived, in monotonic seconds.
        deadline_s: When its caller gives up, in monotonic seconds.
        account: Client account of its caller; None without one.
    """

    match: Match
    headers: HeaderPairs
    arrived_s: float
    deadline_s: float
    account: CallAccount | None
