"""Seeded soak of planned stops that come in series and overlap.

Callers use kept connections of both servers of several nodes, while the nodes
get SIGTERM and start again on the same ports. Journals of the upstreams, logs
and what the callers saw are checked. Run 50 seeds with
`python -m test.stop_soak --seeds 50 --first 1`.
"""

import argparse
import random
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from test.nodes import FakeUpstream, node_environment
from test.processes import is_ready, wait_until
from test.soak_callers import MAX_WORK_MS, SoakCaller
from test.soak_requests import HANG_S
from test.soak_stops import LagProbe, Stopper
from test.soak_verdict import Journal, Lags, StopTimes, Verdict
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.ports import free_address

UPSTREAMS = {'guard-1': ('up-1', 'up-2'), 'guard-2': ('up-3', 'up-4')}
HOSTS = ('entry-1', 'entry-2', *UPSTREAMS)
SLOTS = 12
CALLERS = 72
STOP_LIMIT_MS = 1100
DRAIN_WAIT_MS = 400
UPSTREAM_DRAIN_MS = (200, 400)
UNKNOWN = (502, 504)
SHOWN_PROBLEMS = 8


class StopSoak:
    """One run with its nodes, upstreams and callers.

    Args:
        seed: Seed of all draws.
        started: Environment that owns the processes.
    """

    def __init__(self, seed, started):
        self.seed = seed
        self.is_ending = threading.Event()
        rng = random.Random(seed)
        self.gap_s = rng.choice(((0.2, 0.8), (0.3, 2), (1, 4)))
        self._upstream_drain_ms = rng.choice(UPSTREAM_DRAIN_MS)
        self._drained = rng.choice((*sum(UPSTREAMS.values(), ()), ''))
        self._drained_at_s = rng.uniform(0.2, 3)
        self._states = {}
        self.nodes = [self._new_node(started, host) for host in HOSTS]
        self.upstreams = {
            name: _new_upstream(started, name)
            for names in UPSTREAMS.values()
            for name in names
        }
        self.addresses = {
            (node.host, server): node.settings[key]
            for node in self.nodes
            for server, key in (
                ('ingress', 'ingress_address'),
                ('api', 'http_address'),
            )
        }

    def launch(self, node):
        """Starts a node with its upstreams and waits until it is ready."""
        entries = [
            other.entry(self.upstreams[name])
            for other in self.nodes
            if other is not node
            for name in UPSTREAMS.get(other.host, ())
        ]
        node.launch(entries, [other.node_entry() for other in self.nodes])
        wait_until(partial(is_ready, node.http_address), node.host, HANG_S)
        for name in UPSTREAMS.get(node.host, ()):
            state = self._states.get(name, 'ready')
            node.announce(self.upstreams[name], state)

    def run(self):
        """Runs the stops beside the callers; returns the result."""
        _run_all(upstream.start for upstream in self.upstreams.values())
        _run_all(partial(self.launch, node) for node in self.nodes)
        callers = [SoakCaller(number, self) for number in range(CALLERS)]
        stoppers = [Stopper(node, self) for node in self.nodes]
        probe = LagProbe(self.is_ending)
        for thread in (probe, *callers, *stoppers):
            thread.start()
        self._drain_an_upstream()
        for stopper in stoppers:
            stopper.join()
        self.is_ending.set()
        for caller in callers:
            caller.join(2 * HANG_S)
        # Calls that outlived their callers end.
        time.sleep(MAX_WORK_MS / MS_PER_S)
        problems = [text for stopper in stoppers for text in stopper.problems]
        requests = [sent for caller in callers for sent in caller.requests]
        return self._check(requests, problems, Lags(probe.samples))

    def _new_node(self, started, host):
        return started.new_node(
            host,
            ingress_address=free_address(),
            drain_wait_ms=DRAIN_WAIT_MS,
            stop_limit_ms=STOP_LIMIT_MS,
            upstream_drain_ms=self._upstream_drain_ms,
            # A busy machine must not look like a lost node.
            hop_heartbeat_ms=2000,
        )

    def _drain_an_upstream(self):
        """Announces that an upstream drains, to a node that may be stopping."""
        if not self._drained:
            return
        time.sleep(self._drained_at_s)
        self._states[self._drained] = 'draining'
        for node in self.nodes:
            if self._drained in UPSTREAMS.get(node.host, ()):
                with suppress(OSError):
                    node.announce(self.upstreams[self._drained], 'draining')

    def _check(self, requests, problems, lags):
        guards = {
            name: host for host, names in UPSTREAMS.items() for name in names
        }
        journal = Journal(
            {name: up.lines() for name, up in self.upstreams.items()}
        )
        logs = {node.host: node.process.log_text() for node in self.nodes}
        times = StopTimes(
            DRAIN_WAIT_MS / MS_PER_S,
            self._upstream_drain_ms / MS_PER_S,
            STOP_LIMIT_MS / MS_PER_S,
        )
        verdict = Verdict(journal, logs, times, guards, lags)
        found = verdict.problems(requests)
        texts = [_explain(*problem, journal, logs) for problem in found]
        return SoakResult(
            requests,
            [*problems, *verdict.log_problems(), *texts],
            Counter(rule for rule, _ in found),
            sum(map(verdict.was_cut_at_the_end, requests)),
            sum(
                request.status in UNKNOWN
                and request.outcome != 'not-run'
                and not journal.of(request.identifier)
                for request in requests
            ),
            len(verdict.stops),
        )


@dataclass(frozen=True)
class SoakResult:
    """What a run found.

    Attributes:
        requests: All requests.
        problems: Explained violations.
        rules: Number of violations by rule.
        outlasting: Calls that outlasted a whole stop.
        doubtful: Calls that were told they may have run, and did not.
        stops: Number of planned stops.
    """

    requests: list
    problems: list
    rules: Counter
    outlasting: int
    doubtful: int
    stops: int

    def summary(self):
        """Returns the figures in one line."""
        statuses = Counter(
            f'{request.status or "none"} {request.reason}'.strip()
            for request in self.requests
        )
        return (
            f'{len(self.requests)} requests, {self.stops} stops, answers '
            f'{dict(statuses.most_common())}, {self.outlasting} calls '
            f'outlasted a stop, {self.doubtful} told in doubt did not run, '
            f'{len(self.problems)} problems {dict(self.rules)}'
        )


def _new_upstream(started, name):
    upstream = FakeUpstream(started.folder, name, SLOTS)
    upstream.process.program = 'test.timed_upstream'
    started.processes.append(upstream.process)
    return upstream


def _run_all(actions):
    with ThreadPoolExecutor() as executor:
        futures = [executor.submit(action) for action in actions]
        for future in futures:
            future.result()


def _explain(rule, request, journal, logs):
    sent = {**vars(request), 'body': len(request.body)}
    entries = journal.of(request.identifier)
    own = [
        f'{host}: {line}'
        for host, text in logs.items()
        for line in text.splitlines()
        if f"/{request.identifier}'" in line or "event='st" in line
    ]
    return '\n  '.join((f'{rule}: {sent}', f'journal {entries}', *own))


def run_soak(seed):
    """Runs one seed with processes of its own."""
    with node_environment() as started:
        return StopSoak(seed, started).run()


def main():
    """Runs seeds and prints their results; returns 1 on violations."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    arguments = parser.parse_args()
    failed = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = run_soak(seed)
        print(f'seed {seed}: {result.summary()}', flush=True)
        if result.problems:
            failed.append(seed)
            print(*result.problems[:SHOWN_PROBLEMS], sep='\n', flush=True)
    print(f'{len(failed)} of {arguments.seeds} seeds failed: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
