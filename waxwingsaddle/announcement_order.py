"""Order of upstream announcements; outdated ones are ignored."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

# Number of ended upstreams that are kept, about 200 bytes each. Late
# announcements arrive within seconds, and a few upstreams an hour end on a
# host.
_MAX_ENDED = 1000

# Start time of an incarnation, in milliseconds, and a sequence number.
_Position = tuple[int, int]
_NEVER: _Position = (0, 0)


@dataclass(slots=True)
class AnnouncementOrder:
    """Tracks the newest announcement of each upstream.

    Attributes:
        max_delay_s: Longest delay of an announcement, in seconds.
        clock: Returns the monotonic time, in seconds.
    """

    max_delay_s: float
    clock: Callable[[], float]
    _newest: dict[str, _Position] = field(default_factory=dict)
    # Start time of the newest incarnation that has ended, by upstream.
    _ended: OrderedDict[str, int] = field(default_factory=OrderedDict)
    # When an upstream left without a known incarnation.
    _unidentified_end_s: OrderedDict[str, float] = field(
        default_factory=OrderedDict,
    )

    def is_newer(self, name: str, started_at_ms: int, sequence: int) -> bool:
        """Returns whether an announcement is the newest of its upstream.

        Args:
            name: Name of the upstream.
            started_at_ms: Start time of the incarnation; 0 if not given. Such
                an announcement counts as the newest only of an upstream that
                has never given one: it can't be told from a late one of an
                incarnation that has left.
            sequence: Sequence number within the incarnation.
        """
        end_s = self._unidentified_end_s.get(name)
        if end_s is not None and self.clock() - end_s < self.max_delay_s:
            return False
        newest = self._newest.get(name, _NEVER)
        ended_ms = self._ended.get(name, 0)
        if not started_at_ms:
            return newest == _NEVER and not ended_ms
        return started_at_ms > ended_ms and (started_at_ms, sequence) > newest

    def record(self, name: str, started_at_ms: int, sequence: int) -> None:
        """Records an announcement that took effect."""
        if started_at_ms:
            self._newest[name] = (started_at_ms, sequence)

    def forget(self, name: str) -> None:
        """Forgets the newest announcement of an upstream that fell silent.

        Its ends are kept. Whoever announces this name from now on is alive.
        """
        self._newest.pop(name, None)

    def record_end(self, name: str, started_at_ms: int) -> int:
        """Records that an upstream has left; ignores its late announcements.

        Args:
            name: Name of the upstream.
            started_at_ms: Start time of the incarnation; 0 if not given.

        Returns:
            The start time of the incarnation; 0 if it is not known.
        """
        newest_ms, _ = self._newest.pop(name, _NEVER)
        ended_ms = started_at_ms or newest_ms
        if not ended_ms:
            # This node has restarted since the last announcement, and the
            # leave message does not identify the incarnation.
            self._unidentified_end_s[name] = self.clock()
        self._record_ended(name, ended_ms)
        return ended_ms

    def restore_end(self, name: str, started_at_ms: int, ago_s: float) -> None:
        """Records an end that an earlier incarnation of this node recorded.

        Args:
            name: Name of the upstream.
            started_at_ms: Start time of the incarnation; 0 if not known.
            ago_s: Seconds since then.
        """
        if not started_at_ms:
            self._unidentified_end_s[name] = self.clock() - ago_s
        self._record_ended(name, started_at_ms)

    def _record_ended(self, name: str, started_at_ms: int) -> None:
        self._ended[name] = max(started_at_ms, self._ended.pop(name, 0))
        for ended in (self._ended, self._unidentified_end_s):
            if len(ended) > _MAX_ENDED:
                ended.popitem(last=False)
