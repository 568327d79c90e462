"""Nodes of two zones whose connections run through a fault proxy."""

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
# A caller waits this long beyond its deadline.
MARGIN_S = 1.0


class Caller(threading.Thread):
    """One call of a caller, in a thread of its own.

    Attributes:
        outcome: Outcome told; empty when no answer came.
        reason: Reason given with it.
        body: Body of the answer.
        took_s: Time from the start to the answer or its absence.
    """

    def __init__(
        self, address, identifier, wait_ms=0, key='', deadline_ms=2500
    ):
        super().__init__(daemon=True)
        headers = {'Waxwing-Deadline-Ms': str(deadline_ms)}
        if key:
            headers['Idempotency-Key'] = key
        target = f'/orders?id={identifier}&wait_ms={wait_ms}'
        limit_s = deadline_ms / 1000 + MARGIN_S
        self._parts = (address, 'POST', target, None, headers, limit_s)
        self._limit_s = limit_s
        self.outcome = ''
        self.reason = ''
        self.body = b''
        self.took_s = 0.0
        self.start()

    def run(self):
        """Makes the call."""
        begun_s = time.monotonic()
        try:
            _, headers, body = call(*self._parts)
        except (OSError, HTTPException) as error:
            self.reason = repr(error)
        else:
            self.outcome = headers['Waxwing-Outcome']
            self.reason = headers['Waxwing-Reason'] or ''
            self.body = body
        self.took_s = time.monotonic() - begun_s

    def wait_ended(self):
        """Waits for the end of the call, and returns the caller."""
        self.join(2 * self._limit_s)
        assert not self.is_alive()
        assert self.took_s < self._limit_s + MARGIN_S, self.took_s
        return self


class Zones:
    """Nodes of two zones, an upstream in each, and the links between.

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
        """Starts all nodes and waits until their keepers grant."""
        address = self.links.addresses
        guarded = self.nodes['guard']
        up, far_up = self.upstream, self.far_upstream
        others = {
            'entry': [guarded.entry(up, address['guard'])],
            'guard': [],
            'third': [guarded.entry(up)],
            'far': [guarded.entry(up, address['to-guard'])],
        }
        for host, node in self.nodes.items():
            listed = [self._listed(one, host) for one in self.nodes]
            node.launch(others[host], listed)
        for host, node in self.nodes.items():
            try:
                wait_until(partial(is_ready, node.http_address), host)
            except AssertionError as error:
                log = node.process.log_text()
                raise AssertionError(f'{error}; its log: {log}') from error
        if is_upstream_proxied:
            guarded.announce(up, address=address['upstream'])
        else:
            guarded.announce(up)
        self.nodes['far'].announce(far_up)
        for host, zone in ZONES.items():
            wait_until(partial(self._grants, host, zone), f'{host} claims')

    def set_condition(self, names, **condition):
        """Sets the condition of several links."""
        for name in names:
            self.links.set_condition(name, **condition)

    def address(self, host):
        """Returns the HTTP address of a node."""
        return self.nodes[host].http_address

    def execution_count(self, identifier):
        """Returns how often a call began at either upstream."""
        return sum(
            one.count('begin', identifier)
            for one in (self.upstream, self.far_upstream)
        )

    def _listed(self, host, viewer):
        is_crossing = ZONES[host] != ZONES[viewer]
        address = self.links.addresses[f'to-{host}'] if is_crossing else ''
        return self.nodes[host].node_entry(address)

    def _grants(self, host, zone):
        # The link to the guard stands after this as well.
        key = f'{zone}.{next(self._probes)}'
        caller = Caller(self.address(host), key, key=key)
        return caller.wait_ended().outcome == 'ran'


@contextmanager
def zones(slots=2, is_upstream_proxied=False):
    """Runs four nodes in two zones and an upstream in each zone."""
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
                # A cut link is lost after three of these, so that an answer
                # can be lost on it first.
                hop_heartbeat_ms=500,
            )
            for host, zone in ZONES.items()
        }
        targets = {f'to-{one.host}': one.call_address for one in nodes.values()}
        targets['guard'] = nodes['guard'].call_address
        targets['upstream'] = upstreams[0].address
        targets['caller'] = nodes['entry'].http_address
        with fault_proxy(started.folder, targets) as links:
            running = Zones(nodes, upstreams, links)
            running.start(is_upstream_proxied)
            yield running
