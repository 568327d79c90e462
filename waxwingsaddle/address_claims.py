"""Decides between upstreams that announce themselves at one address.

An announcement with a later start names the successor of the upstream at its
address. Nobody vouches for it, so it displaces the other one and does not end
it: one that goes on returns. Answers a load pattern of announcements of other
writers, and of late ones, between those of sound upstreams.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from waxwingsaddle.announcements import Announcement, AnnouncementBody

# Announcements that a cut has held up arrive together. Two that are this far
# apart come from an upstream that goes on.
PROOF_SPAN_S = 1.0
_MAX_NAMES = 1000


@dataclass(frozen=True, slots=True)
class _Sign:
    """Announcements of an upstream since another took its address.

    Attributes:
        incarnation: Start time that they name, in milliseconds.
        sequence: Their highest sequence number.
        first_s: Monotonic time of the first one.
    """

    incarnation: int
    sequence: int
    first_s: float


@dataclass(slots=True)
class AddressClaims:
    """Claims of upstreams to the addresses of others.

    Attributes:
        clock: Returns the monotonic time, in seconds.
    """

    clock: Callable[[], float]
    _signs: OrderedDict[str, _Sign] = field(default_factory=OrderedDict)
    # Incarnations that took an address over, and those that were refuted.
    _successors: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _refuted: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def displaced_by(
        self,
        name: str,
        body: AnnouncementBody,
        announced: Mapping[str, Announcement],
    ) -> tuple[str, ...] | None:
        """Returns the upstreams that an announcement displaces.

        Args:
            name: Name of the upstream.
            body: Its announcement, which is newer than those before.
            announced: The announced upstreams of this node by name.

        Returns:
            Their names; None if the announcement has to be ignored.
        """
        others = [
            one
            for one in announced.values()
            if one.address == body.address and one.name != name
        ]
        current = announced.get(name)
        incarnation = body.started_at_ms
        is_announced = (
            current is not None
            and current.incarnation == incarnation
            and current.address == body.address
        )
        if not others or not incarnation or is_announced:
            return ()
        if self._refuted.get(name) == incarnation:
            return None
        rivals = [one for one in others if one.service == body.service]
        if any(one.incarnation > incarnation for one in rivals):
            return () if self._goes_on(name, body) else None
        _remember(self._successors, name, incarnation)
        return tuple(one.name for one in others)

    def refute(self, name: str, incarnation: int) -> bool:
        """Records that an address answered that it is another upstream.

        Returns:
            Whether the incarnation had taken the address over from another
            one, so that it has to give way.
        """
        if self._successors.get(name) != incarnation:
            return False
        _remember(self._refuted, name, incarnation)
        return True

    def _goes_on(self, name: str, body: AnnouncementBody) -> bool:
        """Returns whether an upstream goes on after another took its place."""
        now_s = self.clock()
        sign = self._signs.get(name)
        if sign is None or sign.incarnation != body.started_at_ms:
            sign = _Sign(body.started_at_ms, body.sequence, now_s)
        elif body.sequence <= sign.sequence:
            return False
        elif now_s - sign.first_s >= PROOF_SPAN_S:
            self._signs.pop(name)
            return True
        newest = replace(sign, sequence=body.sequence)
        _remember(self._signs, name, newest)
        return False


def _remember(table: OrderedDict, name: str, entry: object) -> None:
    table.pop(name, None)
    table[name] = entry
    if len(table) > _MAX_NAMES:
        table.popitem(last=False)
