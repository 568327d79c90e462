"""Order of the announcements of upstreams, so that late ones lose."""

from collections import OrderedDict
from dataclasses import dataclass, field

# Ended upstreams remembered, about 200 bytes each. Late announcements come
# within seconds; a host sees a few upstreams an hour.
_ENDED_KEPT = 1000

_Place = tuple[int, int]


@dataclass(slots=True)
class AnnouncementOrder:
    """Remembers the newest announcement of each upstream."""

    _newest: dict[str, _Place] = field(default_factory=dict)
    _ended: OrderedDict[str, int] = field(default_factory=OrderedDict)

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
        place = (started_at_ms, sequence)
        if place <= self._newest.get(name, (0, 0)):
            return False
        self._newest[name] = place
        return True

    def end(self, name: str, started_at_ms: int) -> None:
        """Notes that an upstream has left; its announcements are void."""
        newest_ms, _ = self._newest.pop(name, (0, 0))
        self._ended[name] = max(
            started_at_ms or newest_ms,
            self._ended.pop(name, 0),
        )
        if len(self._ended) > _ENDED_KEPT:
            self._ended.popitem(last=False)
