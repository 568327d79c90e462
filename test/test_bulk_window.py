"""Large answers and short ones on one narrow link, in simulated time."""

import heapq
import random

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from waxwingsaddle.bulk_window import BulkWindow

PIECE_BYTES = 8192
SHORT_BYTES = 1500
ONE_WAY_S = 0.003
BYTES_PER_MBIT = 125_000
# One piece may be on the link when a short answer arrives, and others may have
# passed the receiver whose acknowledgements are still on their way.
ALLOWED_PIECES = 3


class Link:
    """Host with one link, on which messages leave in order."""

    def __init__(self, mbit_per_s, seed=1):
        """Starts with an idle link."""
        self.now_s = 0.0
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.window = BulkWindow(lambda: self.now_s)
        self.short_waits_s = []
        self.bulk_bytes = 0
        self._rng = random.Random(seed)
        self._free_s = 0.0
        self._events = []
        self._streams = []
        self._number = 0

    def run(self, end_s, plans_per_s, short_per_s=20):
        """Plays arrivals of large and short answers until a time."""
        self._schedule(0, self._arrive_plan, plans_per_s)
        self._schedule(0, self._arrive_short, short_per_s)
        while self._events[0][0] < end_s:
            event = heapq.heappop(self._events)
            self.now_s = event[0]
            event[2](event[3])
        return self

    def _schedule(self, after_s, action, argument):
        self._number += 1
        event = (self.now_s + after_s, self._number, action, argument)
        heapq.heappush(self._events, event)

    def _arrive_plan(self, per_s):
        size = min(540_000, self._rng.expovariate(1 / 90_000))
        self._streams.append([f'{len(self._streams) % 9}'.encode(), size])
        self._schedule(self._rng.expovariate(per_s), self._arrive_plan, per_s)
        self._pump()

    def _arrive_short(self, per_s):
        self.short_waits_s.append(max(0, self._free_s - self.now_s))
        self._occupy(SHORT_BYTES)
        self._schedule(self._rng.expovariate(per_s), self._arrive_short, per_s)

    def _pump(self):
        while self._streams and self.window.has_room(PIECE_BYTES):
            stream = self._streams.pop(0)
            piece = self.window.send(stream[0], PIECE_BYTES)
            stream[1] -= PIECE_BYTES
            if stream[1] > 0:
                self._streams.append(stream)
            sent_s = self._occupy(PIECE_BYTES)
            acknowledged_s = sent_s - self.now_s + 2 * ONE_WAY_S
            self._schedule(acknowledged_s, self._acknowledge, piece)

    def _acknowledge(self, piece):
        self.bulk_bytes += piece.size_bytes
        self.window.acknowledge(piece)
        self._pump()

    def _occupy(self, size_bytes):
        start_s = max(self.now_s, self._free_s)
        self._free_s = start_s + size_bytes / self.bytes_per_s
        return self._free_s


@params((2, 1.2), (3.85, 2.5), (7.7, 5), (7.7, 9))
def test_short_answers_wait_for_a_few_pieces_only(mbit_per_s, plans_per_s):
    """Guards against short answers that wait behind whole large answers."""
    link = Link(mbit_per_s).run(60, plans_per_s)
    waits_s = sorted(link.short_waits_s)[: -len(link.short_waits_s) // 100]
    allowed_s = ALLOWED_PIECES * PIECE_BYTES / link.bytes_per_s + 0.02
    assert waits_s[-1] < allowed_s, (waits_s[-1], allowed_s)


@params(2, 3.85, 7.7, 100, 1000)
def test_large_answers_use_the_link(mbit_per_s):
    """Guards against a window that leaves the link idle."""
    link = Link(mbit_per_s).run(30, 1.2 * mbit_per_s * BYTES_PER_MBIT / 80_000)
    sent_bytes = link.bulk_bytes + len(link.short_waits_s) * SHORT_BYTES
    used_percent = round(100 * sent_bytes / (30 * link.bytes_per_s))
    assert used_percent > 80, used_percent


def test_stalled_caller_does_not_block_the_others():
    """Guards against callers that read slowly and fill the window for all."""
    now_s = [0.0]
    window = BulkWindow(lambda: now_s[0])
    while window.has_room(PIECE_BYTES):
        window.send(b'slow', PIECE_BYTES)
    now_s[0] = 1.0
    assert window.has_room(PIECE_BYTES)
    assert not window.in_flight_bytes


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 1)), max_size=60))
def test_bytes_in_flight_match_the_pieces(steps):
    """Guards against a window that leaks room or counts pieces twice."""
    now_s = [0.0]
    window = BulkWindow(lambda: now_s[0])
    pieces = []
    for is_send, pause_s in steps:
        now_s[0] += pause_s
        if is_send and window.has_room(PIECE_BYTES):
            pieces.append(window.send(b'r', PIECE_BYTES))
        elif pieces:
            window.acknowledge(pieces.pop(0))
        counted = sum(piece.is_counted for piece in pieces)
        assert window.in_flight_bytes == counted * PIECE_BYTES
