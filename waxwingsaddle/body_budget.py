"""Memory of a guarding node for the bodies that other nodes send.

Load pattern: callers all over a fleet upload large files to the few upstreams
of one service. Each running or queued call keeps its whole body, so that the
slots of the upstream alone would let them fill the memory of the host.
"""

from waxwingsaddle import metrics

_refused = metrics.counter(
    'waxwing_guard_bodies_refused',
    'Calls refused before their body was sent, for lack of memory.',
)
_held = metrics.gauge(
    'waxwing_guard_body_bytes',
    'Bytes reserved for request bodies from other nodes.',
)


class BodyBudget:
    """Bytes of request bodies that a guarding node may hold.

    Args:
        limit_bytes: Maximum number of bytes.

    Attributes:
        held_bytes: Bytes reserved now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserves room for a body; returns False if it does not fit.

        While no body is held, one of any size is accepted.
        """
        if self.held_bytes and self.held_bytes + size_bytes > self._limit_bytes:
            _refused.inc()
            return False
        self._set_held(self.held_bytes + size_bytes)
        return True

    def release(self, size_bytes: int) -> None:
        """Releases the room of a body."""
        self._set_held(self.held_bytes - size_bytes)

    def _set_held(self, held_bytes: int) -> None:
        self.held_bytes = held_bytes
        _held.set(held_bytes)
