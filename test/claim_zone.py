"""Simulated zone of keepers and claimants on a lossy network.

Time is virtual and all randomness comes from one seed, so that a run can be
repeated exactly. Each host learns of a change of membership after a delay of
its own.
"""

import random
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from unittest import mock

from test.virtual_network import Loop, Network
from waxwingsaddle import (
    claim_outbox,
    claim_store,
    claim_table,
    claimant,
    claims,
    placement,
)

POLICY = claimant.ClaimPolicy(
    window_s=0.5,
    grace_s=0.02,
    pause_s=0.1,
    max_bytes=10_000_000,
)
# Fewer buckets make each change of membership cheaper to simulate.
BUCKETS = 32


@contextmanager
def few_buckets():
    """Reduces the number of buckets that keys are placed in."""
    with ExitStack() as stack:
        for module in (claim_table, claim_store, placement):
            stack.enter_context(mock.patch.object(module, 'BUCKETS', BUCKETS))
        yield


@dataclass(eq=False)
class Host:
    """One incarnation of a host."""

    name: str
    loop: Loop
    rng: random.Random
    incarnation: int
    view: placement.Placement

    def __post_init__(self):
        """Starts without claims."""
        clock = self.loop.clock
        table = claim_table.ClaimTable(POLICY.max_bytes, clock)
        window_s = POLICY.window_s
        incarnation = str(self.incarnation)
        self.store = claim_store.ClaimStore(
            self.name, table, window_s, clock, incarnation
        )
        self.outbox = claim_outbox.ClaimOutbox(self.lookup, 60, clock)
        self.claimant = claimant.Claimant(POLICY, self.lookup, clock, self.rng)

    def lookup(self, key_digest, _home):
        """Returns the keepers under the membership that this host knows."""
        hosts = self.view.keepers(placement.bucket_of(key_digest))
        return tuple(claimant.Peer(host, host) for host in hosts)

    def apply_members(self, members):
        """Applies a membership."""
        self.view = placement.Placement(members)
        self.store.set_members(members)

    def handle(self, message):
        """Handles a message from another host."""
        if isinstance(message, claims.ClaimRequest):
            return self.store.claim(message)
        if isinstance(message, claims.ClaimSync):
            return self.store.serve_sync(message)
        if isinstance(message, claims.ClaimHandOver):
            self.store.merge(message.claims)
        else:
            self.store.merge((message.claim,))
        return claims.ClaimKept(1)


class Zone:
    """Hosts of a zone and the network between them."""

    def __init__(self, seed, size, loss_percent):
        """Starts all hosts with the full membership and lets them settle."""
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.network = Network(self.loop, self.rng, loss_percent)
        self.incarnations = count(1)
        self.hosts = {}
        self.members = frozenset(f'h{number}' for number in range(size))
        for name in sorted(self.members):
            self.start(name).apply_members(self.members)
        self.loop.run(4)

    def start(self, name):
        """Starts a host without claims."""
        rng = random.Random(self.rng.random())
        view = placement.Placement(())
        host = Host(name, self.loop, rng, next(self.incarnations), view)
        self.hosts[name] = host
        self.tick(host)
        return host

    def is_current(self, host):
        """Returns whether this incarnation of the host is running."""
        return self.hosts.get(host.name) is host

    def tick(self, host):
        """Runs the timers of a host."""
        if not self.is_current(host):
            return
        for other, epoch, sync in host.store.due_sync_requests():
            apply_reply = partial(host.store.apply_sync_reply, other, epoch)
            self.query(host, other, sync, apply_reply)
        for message_id, message, peers in host.outbox.due():
            for peer in peers:
                confirm = partial(self.confirm, host, message_id, peer.host)
                self.query(host, peer.host, message, confirm)
        self.loop.call_later(0.2, self.tick, host)

    def confirm(self, host, message_id, name, _reply):
        """Records that a keeper has stored an outcome."""
        host.outbox.confirm(message_id, name)

    def query(self, host, name, message, on_reply):
        """Sends a request; the reply reaches only the same incarnation."""
        self.network.request(
            partial(self.serve, name, message),
            partial(self.deliver, host, on_reply),
        )

    def serve(self, name, message):
        """Handles a request at the incarnation that runs on its arrival."""
        target = self.hosts.get(name)
        return target and target.handle(message)

    def deliver(self, host, on_reply, reply):
        """Delivers a reply if the requesting incarnation still runs."""
        if self.is_current(host):
            on_reply(reply)

    def change_members(self, members):
        """Changes the directory; each host learns it after its own delay."""
        self.members = members
        for host in self.hosts.values():
            self.loop.call_later(
                self.rng.uniform(0, 1), self.apply_members, host, members
            )

    def apply_members(self, host, members):
        """Applies a membership to a host.

        Delays differ, so an outdated membership may arrive last; the current
        one then follows.
        """
        host.apply_members(members)
        if members != self.members:
            self.loop.call_later(0.5, self.apply_members, host, self.members)

    def is_quiescent(self):
        """Returns whether all hosts run, are settled and know the members."""
        return len(self.hosts) == len(self.members) and all(
            host.store.is_settled and host.view.hosts == self.members
            for host in self.hosts.values()
        )


@dataclass
class Steps:
    """Runs the steps of a claimant on one incarnation of a host."""

    zone: Zone
    host: Host
    steps: object
    on_result: object
    replies: dict = field(default_factory=dict)
    query: claimant.PeerQuery | None = None

    def advance(self, replies=None):
        """Runs the next step."""
        if not self.zone.is_current(self.host):
            return
        try:
            step = self.steps.send(replies)
        except StopIteration as stop:
            self.on_result(stop.value)
            return
        if isinstance(step, claimant.Pause):
            self.zone.loop.call_later(step.pause_s, self.advance)
            return
        self.query = step
        self.replies = {}
        for peer in step.peers:
            collect = partial(self.collect, step, peer.host)
            self.zone.query(self.host, peer.host, step.message, collect)
        self.zone.loop.call_later(step.timeout_s, self.finish, step)

    def collect(self, query, name, reply):
        """Collects one reply."""
        if query is not self.query:
            return
        self.replies.setdefault(name, reply)
        if len(self.replies) == len(query.peers):
            self.finish(query)
        elif query.is_enough(self.replies):
            self.zone.loop.call_later(query.grace_s, self.finish, query)

    def finish(self, query):
        """Ends the collection of replies."""
        if query is self.query:
            self.query = None
            self.advance(self.replies)
