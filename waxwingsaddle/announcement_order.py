"""Order of the announcements of upstreams, so that late ones lose."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

# Ended upstreams remembered, about 200 bytes each. Late announcements come
# within seconds; a host sees a few upstreams an hour.
_ENDED_KEPT = 1000

_Place = tuple[int, int]


@dataclass(slots=True)
class AnnouncementOrder:
    """Remembers the newest announcement of each upstream.

    Attributes:
        late_s: How late an announcement may arrive, in seconds.
        clock: Monotonic seconds.
    """

    late_s: float
    clock: Callable[[], float]
    _newest: dict[str, _Place] = field(default_factory=dict)
    _ended: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _unknown_ended_s: OrderedDict[str, float] = field(
        default_factory=OrderedDict,
    )

    def is_newer(self, name: str, started_at_ms: int, sequence: int) -> bool:
        """Says whether an announcement is newer than all of its upstream.

        Args:
            name: Name of the upstream.
            started_at_ms: Start of its incarnation; one without is always
                taken.
            sequence: Rises within an incarnation.
        """
        if not started_at_ms:
            return True
        if started_at_ms <= self._ended.get(name, 0):
            return False
        ended_s = self._unknown_ended_s.get(name)
        if ended_s is not None and self.clock() - ended_s < self.late_s:
            return False
        place = (started_at_ms, sequence)
        if place <= self._newest.get(name, (0, 0)):
            return False
        self._newest[name] = place
        return True

    def end(self, name: str, started_at_ms: int) -> None:
        """Notes that an upstream has left; its announcements are void."""
        newest_ms, _ = self._newest.pop(name, (0, 0))
        ended_ms = started_at_ms or newest_ms
        if not ended_ms:
            # This node has started since the last announcement, and the
            # upstream does not tell which incarnation leaves.
            self._unknown_ended_s[name] = self.clock()
        self._ended[name] = max(ended_ms, self._ended.pop(name, 0))
        for kept in (self._ended, self._unknown_ended_s):
            if len(kept) > _ENDED_KEPT:
                kept.popitem(last=False)
