"""Admission of a reconnect storm."""

import random
from heapq import heapify, heappop, heappush

from waxwingsaddle.admission import Admission

NODES = 200
RATE_PER_S = 50
BURST = 10


class Clock:
    """Seconds that the test sets."""

    def __init__(self):
        self.now_s = 0

    def __call__(self):
        return self.now_s


def test_storm_is_spread_over_the_rate():
    """Guards against a storm let in at once, and against nodes left out."""
    clock = Clock()
    admission = Admission(RATE_PER_S, BURST, clock, random.Random(5))
    due = [(0, str(number).encode()) for number in range(NODES)]
    heapify(due)
    admitted_s = []
    questions = 0
    while due:
        moment_s, identity = heappop(due)
        clock.now_s = moment_s
        questions += 1
        wait_ms = admission.retry_after_ms(identity)
        if wait_ms:
            heappush(due, (clock.now_s + wait_ms / 1000, identity))
        else:
            admitted_s.append(clock.now_s)
    for number, moment_s in enumerate(admitted_s):
        assert number < BURST + moment_s * RATE_PER_S + 1
    assert admitted_s[-1] < 3 * NODES / RATE_PER_S
    assert questions < 6 * NODES
