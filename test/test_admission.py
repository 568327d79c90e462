"""Tests of the rate limit for new leases."""

import random
from heapq import heapify, heappop, heappush

from waxwingsaddle.admission import Admission

NODES = 200
RATE_PER_S = 50
BURST = 10


class Clock:
    """Clock that the test sets, in seconds."""

    def __init__(self):
        self.now_s = 0

    def __call__(self):
        return self.now_s


def test_storm_is_spread_over_the_rate():
    """Guards against a reconnect storm admitted at once, and starved nodes.

    All nodes ask at the same time and retry after the wait they are told.
    """
    clock = Clock()
    admission = Admission(RATE_PER_S, BURST, clock, random.Random(5))
    pending = [(0, str(number).encode()) for number in range(NODES)]
    heapify(pending)
    admitted_s = []
    requests = 0
    while pending:
        request_at_s, identity = heappop(pending)
        clock.now_s = request_at_s
        requests += 1
        wait_ms = admission.retry_after_ms(identity)
        if wait_ms:
            heappush(pending, (clock.now_s + wait_ms / 1000, identity))
        else:
            admitted_s.append(clock.now_s)
    for number, request_at_s in enumerate(admitted_s):
        assert number < BURST + request_at_s * RATE_PER_S + 1
    assert admitted_s[-1] < 3 * NODES / RATE_PER_S
    assert requests < 6 * NODES
