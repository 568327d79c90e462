"""Nodes in two availability zones, connected through a fault proxy."""

import threading
import time
from contextlib import contextmanager
from functools import partial
from http.client import HTTPException
from itertools import count

from test.bench import fault_proxy
from test.nodes import call, node_environment
from test.processes import is_ready, wait_until

ZONES = {
    'entry': 'zone-1',
    'guard': 'zone-1',
    'third': 'zone-1',
    'far': 'zone-2',
}
# Callers wait this long beyond the deadline of their call.
MARGIN_S = 1.0


class Caller(threading.Thread):
    """One call of a caller, in a separate thread.

    Attributes:
        outcome: Outcome in the answer; empty if there was no answer.
        reason: Reason in the answer, or the error if there was no answer.
        body: Body of the answer.
        elapsed_s: Time until the answer or the error, in seconds.
    """

    def __init__(
        self, address, identifier, wait_ms=0, key='', deadline_ms=2500
    ):
        super().__init__(daemon=True)
        headers = {'Waxwing-Deadline-Ms': str(deadline_ms)}
        if key:
            headers['Idempotency-Key'] = key
        target = f'/orders?id={identifier}&wait_ms={wait_ms}'
        timeout_s = deadline_ms / 1000 + MARGIN_S
        self._arguments = (address, 'POST', target, None, headers, timeout_s)
        self._timeout_s = timeout_s
        self.outcome = ''
        self.reason = ''
        self.body = b''
        self.elapsed_s = 0.0
        self.start()

    def run(self):
        """Makes the call."""
        started_s = time.monotonic()
        try:
            _, headers, body = call(*self._arguments)
        except (OSError, HTTPException) as error:
            self.reason = repr(error)
        else:
            self.outcome = headers['Waxwing-Outcome']
            self.reason = headers['Waxwing-Reason'] or ''
            self.body = body
        self.elapsed_s = time.monotonic() - started_s

    def wait_ended(self):
        """Waits for the call, which must end in time; returns the caller."""
        self.join(2 * self._timeout_s)
        assert not self.is_alive()
        assert self.elapsed_s < self._timeout_s + MARGIN_S, self.elapsed_s
        return self


class Zones:
    """Nodes of two zones, an upstream in each zone, and the links between.

    Links: `to-NODE` from the other zone to a node, `guard` from `entry` to
    `guard`, `upstream` from `guard` to its upstream, `caller` to `entry`.
    """

    def __init__(self, nodes, upstreams, links):
        self.nodes = nodes
        self.upstream = upstreams[0]
        self.far_upstream = upstreams[1]
        self.links = links
        self._probes = count()

    def start(self, is_upstream_proxied):
        """Starts all nodes and waits until calls with an idempotency key run.

        Args:
            is_upstream_proxied: Whether `guard` reaches its upstream through
                the link `upstream`.
        """
        address = self.links.addresses
        guard = self.nodes['guard']
        upstream, far_upstream = self.upstream, self.far_upstream
        upstream_entries = {
            'entry': [guard.entry(upstream, address['guard'])],
            'guard': [],
            'third': [guard.entry(upstream)],
            'far': [guard.entry(upstream, address['to-guard'])],
        }
        for host, node in self.nodes.items():
            node_entries = [
                self._node_entry(listed, host) for listed in self.nodes
            ]
            node.launch(upstream_entries[host], node_entries)
        for host, node in self.nodes.items():
            try:
                wait_until(partial(is_ready, node.http_address), host)
            except AssertionError as error:
                log = node.process.log_text()
                raise AssertionError(f'{error}; its log: {log}') from error
        if is_upstream_proxied:
            guard.announce(upstream, address=address['upstream'])
        else:
            guard.announce(upstream)
        self.nodes['far'].announce(far_upstream)
        for host, zone in ZONES.items():
            wait_until(partial(self._can_claim, host, zone), f'{host} claims')

    def set_condition(self, names, **condition):
        """Sets the condition of several links of the fault proxy."""
        for name in names:
            self.links.set_condition(name, **condition)

    def address(self, host):
        """Returns the HTTP address of a node."""
        return self.nodes[host].http_address

    def execution_count(self, identifier):
        """Returns how often the upstreams began to execute a call."""
        return sum(
            upstream.count('begin', identifier)
            for upstream in (self.upstream, self.far_upstream)
        )

    def _node_entry(self, host, from_host):
        is_other_zone = ZONES[host] != ZONES[from_host]
        address = self.links.addresses[f'to-{host}'] if is_other_zone else ''
        return self.nodes[host].node_entry(address)

    def _can_claim(self, host, zone):
        # The call also opens the connection to the guard.
        key = f'{zone}.{next(self._probes)}'
        caller = Caller(self.address(host), key, key=key)
        return caller.wait_ended().outcome == 'ran'


@contextmanager
def zones(slots=2, is_upstream_proxied=False):
    """Runs four nodes in two zones, with an upstream in each zone."""
    with node_environment() as started:
        upstreams = [
            started.upstream('up-1', slots),
            started.upstream('up-2', slots),
        ]
        nodes = {
            host: started.new_node(
                host,
                availability_zone=zone,
                availability_zones=sorted(set(ZONES.values())),
                # Nodes give up a cut link after three heartbeats, which leaves
                # time for an answer to be lost on it first.
                hop_heartbeat_ms=500,
            )
            for host, zone in ZONES.items()
        }
        targets = {
            f'to-{node.host}': node.call_address for node in nodes.values()
        }
        targets['guard'] = nodes['guard'].call_address
        targets['upstream'] = upstreams[0].address
        targets['caller'] = nodes['entry'].http_address
        with fault_proxy(started.folder, targets) as links:
            running = Zones(nodes, upstreams, links)
            running.start(is_upstream_proxied)
            yield running
