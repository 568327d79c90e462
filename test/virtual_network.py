"""Virtual time and a lossy network for simulations."""

import random
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count


class Loop:
    """Event loop in virtual time."""

    def __init__(self) -> None:
        """Starts at time zero."""
        self.now_s = 0.0
        self._events = []
        self._numbers = count()

    def clock(self):
        """Returns the virtual time in seconds."""
        return self.now_s

    def call_later(self, delay_s, action, *arguments):
        """Schedules an action after a delay in virtual time."""
        event = (self.now_s + delay_s, next(self._numbers), action, arguments)
        heappush(self._events, event)

    def run(self, until_s):
        """Runs all events up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action, arguments = heappop(self._events)
            self.now_s = at_s
            action(*arguments)
        self.now_s = until_s


class Network:
    """Network that loses, duplicates, delays and reorders messages."""

    def __init__(self, loop: Loop, rng: random.Random, loss_percent: int):
        """Creates a network that loses a percentage of the messages."""
        self._loop = loop
        self._rng = rng
        self._loss_percent = loss_percent

    def send(self, deliver: Callable[[], None]) -> None:
        """Delivers a message never, once or twice, after random delays."""
        if self._happens(self._loss_percent):
            return
        self._loop.call_later(self._delay_s(), deliver)
        if self._happens(5):
            self._loop.call_later(self._delay_s(), deliver)

    def request(self, serve, on_reply) -> None:
        """Sends a request; `serve` returns the reply, None for no reply."""
        self.send(partial(self._serve, serve, on_reply))

    def _serve(self, serve, on_reply):
        reply = serve()
        if reply is not None:
            self.send(partial(on_reply, reply))

    def _happens(self, percent):
        return self._rng.randrange(100) < percent

    def _delay_s(self):
        if self._happens(3):
            return self._rng.uniform(0, 3)
        return self._rng.expovariate(200)
