"""Virtual time and a lossy network for simulations."""

import random
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count


class Loop:
    """Events in virtual time."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.now_s = 0.0
        self._events = []
        self._numbers = count()

    def clock(self):
        """Returns the virtual time."""
        return self.now_s

    def call_later(self, delay_s, action, *arguments):
        """Runs an action later."""
        event = (self.now_s + delay_s, next(self._numbers), action, arguments)
        heappush(self._events, event)

    def run(self, until_s):
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action, arguments = heappop(self._events)
            self.now_s = at_s
            action(*arguments)
        self.now_s = until_s


class Network:
    """Loses, doubles, delays and reorders messages."""

    def __init__(self, loop: Loop, rng: random.Random, loss_percent: int):
        """Starts without messages under way."""
        self._loop = loop
        self._rng = rng
        self._loss_percent = loss_percent

    def send(self, deliver: Callable[[], None]) -> None:
        """Delivers a message not at all, once or twice, in any order."""
        if self._happens(self._loss_percent):
            return
        self._loop.call_later(self._delay_s(), deliver)
        if self._happens(5):
            self._loop.call_later(self._delay_s(), deliver)

    def request(self, serve, on_reply) -> None:
        """Sends a request; `serve` returns the reply, or None for none."""
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
