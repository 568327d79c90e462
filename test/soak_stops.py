"""Series of planned stops in a soak, and the lag of the machine meanwhile."""

import random
import signal
import threading
import time

from test.soak_requests import HANG_S

ROUNDS = 2
PROBE_S = 0.02


class Stopper(threading.Thread):
    """Stops a node with SIGTERM and starts it again, several times.

    Attributes:
        problems: Exit statuses other than 0, and failures to end or to start.
    """

    def __init__(self, node, soak):
        super().__init__(daemon=True)
        self.problems = []
        self._node = node
        self._soak = soak
        self._rng = random.Random(f'{soak.seed} {node.host}')

    def run(self):
        """Stops and starts the node."""
        for _ in range(ROUNDS):
            time.sleep(self._rng.uniform(*self._soak.gap_s))
            try:
                self._stop_node()
                self._soak.launch(self._node)
            except Exception as error:
                self.problems.append(f'{self._node.host}: {error!r}')
                return

    def _stop_node(self):
        process = self._node.process
        if self._rng.choice((True, False)):
            process.signal(signal.SIGHUP)
        process.signal(signal.SIGTERM)
        if self._rng.choice((True, False)):
            time.sleep(self._rng.uniform(0, 1))
            process.signal(signal.SIGTERM)
        status = process.popen.wait(HANG_S)
        if status:
            self.problems.append(f'{self._node.host}: exit status {status}')


class LagProbe(threading.Thread):
    """Measures how late its sleeps end.

    Attributes:
        samples: Pairs of a time, in epoch seconds, and a lag in seconds.
    """

    def __init__(self, is_ending):
        super().__init__(daemon=True)
        self.samples = []
        self._is_ending = is_ending

    def run(self):
        """Measures until the event is set."""
        while not self._is_ending.is_set():
            begun_s = time.time()
            time.sleep(PROBE_S)
            now_s = time.time()
            self.samples.append((now_s, now_s - begun_s - PROBE_S))
