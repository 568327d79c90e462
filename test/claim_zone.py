"""Simulated zone of keepers and claimants over a lossy network.

Virtual time and one seed: a run is repeated exactly. Each host sees a change
of membership after a delay of its own.
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
    """Places keys in few buckets."""
    with ExitStack() as stack:
        for module in (claim_table, claim_store, placement):
            stack.enter_context(mock.patch.object(module, 'BUCKETS', BUCKETS))
        yield


@dataclass(eq=False)
class Host:
    """One life of one host."""

    name: str
    loop: Loop
    rng: random.Random
    life: int
    view: placement.Placement

    def __post_init__(self):
        """Starts with empty memory."""
        clock = self.loop.clock
        table = claim_table.ClaimTable(POLICY.max_bytes, clock)
        window_s = POLICY.window_s
        life = str(self.life)
        self.keeper = claim_store.ClaimStore(
            self.name, table, window_s, clock, life
        )
        self.outbox = claim_outbox.ClaimOutbox(self.lookup, 60, clock)
        self.claimant = claimant.Claimant(POLICY, self.lookup, clock, self.rng)

    def lookup(self, place, _home):
        """Returns the keepers that this host sees."""
        hosts = self.view.keepers(placement.bucket_of(place))
        return tuple(claimant.Peer(host, host) for host in hosts)

    def see(self, members):
        """Sees a membership."""
        self.view = placement.Placement(members)
        self.keeper.set_members(members)

    def handle(self, message):
        """Serves a message of another host."""
        if isinstance(message, claims.ClaimRequest):
            return self.keeper.claim(message)
        if isinstance(message, claims.ClaimSync):
            return self.keeper.answer_sync(message)
        if isinstance(message, claims.ClaimHandOver):
            self.keeper.keep(message.claims)
        else:
            self.keeper.keep((message.claim,))
        return claims.ClaimKept(1)


class Zone:
    """All hosts of a zone and the network between them."""

    def __init__(self, seed, size, loss_percent):
        """Starts all hosts with the full membership, and settles them."""
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.network = Network(self.loop, self.rng, loss_percent)
        self.lives = count(1)
        self.hosts = {}
        self.members = frozenset(f'h{number}' for number in range(size))
        for name in sorted(self.members):
            self.start(name).see(self.members)
        self.loop.run(4)

    def start(self, name):
        """Starts a host with empty memory."""
        rng = random.Random(self.rng.random())
        view = placement.Placement(())
        host = Host(name, self.loop, rng, next(self.lives), view)
        self.hosts[name] = host
        self.tick(host)
        return host

    def is_current(self, host):
        """Says whether this life of the host goes on."""
        return self.hosts.get(host.name) is host

    def tick(self, host):
        """Runs the timers of a host."""
        if not self.is_current(host):
            return
        for other, epoch, sync in host.keeper.due_exchanges():
            taken = partial(host.keeper.take_exchange, other, epoch)
            self.ask(host, other, sync, taken)
        for number, message, peers in host.outbox.due():
            for peer in peers:
                confirm = partial(self.confirm, host, number, peer.host)
                self.ask(host, peer.host, message, confirm)
        self.loop.at(0.2, self.tick, host)

    def confirm(self, host, number, name, _reply):
        """Takes in that a keeper has kept an outcome."""
        host.outbox.confirm(number, name)

    def ask(self, host, name, message, on_reply):
        """Sends a request; the reply reaches only the same life."""
        self.network.ask(
            partial(self.serve, name, message),
            partial(self.deliver, host, on_reply),
        )

    def serve(self, name, message):
        """Serves a request at the life that runs when it arrives."""
        target = self.hosts.get(name)
        return target and target.handle(message)

    def deliver(self, host, on_reply, reply):
        """Hands a reply to the life that asked."""
        if self.is_current(host):
            on_reply(reply)

    def change_members(self, members):
        """Changes the directory; each host sees it after its own delay."""
        self.members = members
        for host in self.hosts.values():
            self.loop.at(self.rng.uniform(0, 1), self.see, host, members)

    def see(self, host, members):
        """A host sees a membership, perhaps an old one last."""
        host.see(members)
        if members != self.members:
            self.loop.at(0.5, self.see, host, self.members)

    def is_calm(self):
        """Says whether all hosts are up, up to date and settled."""
        return len(self.hosts) == len(self.members) and all(
            host.keeper.is_settled and host.view.hosts == self.members
            for host in self.hosts.values()
        )


@dataclass
class Steps:
    """Runs the steps of a claimant at one life of a host."""

    zone: Zone
    host: Host
    steps: object
    on_result: object
    replies: dict = field(default_factory=dict)
    ask: claimant.Ask | None = None

    def advance(self, replies=None):
        """Takes the next step."""
        if not self.zone.is_current(self.host):
            return
        try:
            step = self.steps.send(replies)
        except StopIteration as stop:
            self.on_result(stop.value)
            return
        if isinstance(step, claimant.Pause):
            self.zone.loop.at(step.pause_s, self.advance)
            return
        self.ask = step
        self.replies = {}
        for peer in step.peers:
            take = partial(self.take, step, peer.host)
            self.zone.ask(self.host, peer.host, step.message, take)
        self.zone.loop.at(step.timeout_s, self.end, step)

    def take(self, ask, name, reply):
        """Takes in one reply."""
        if ask is not self.ask:
            return
        self.replies.setdefault(name, reply)
        if len(self.replies) == len(ask.peers):
            self.end(ask)
        elif ask.is_enough(self.replies):
            self.zone.loop.at(ask.grace_s, self.end, ask)

    def end(self, ask):
        """Ends the collection of replies."""
        if ask is self.ask:
            self.ask = None
            self.advance(self.replies)
