"""Random runs of claims over a lossy network, with kills and restarts.

Virtual time and one seed: a run is repeated exactly. At most one host is down
or not settled at a time; graceful restarts and hosts that the directory drops
for a moment come besides. Each host sees a change of membership after a delay
of its own.
"""

import random
from collections import Counter
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from unittest import mock

from test.virtual_network import Loop, Network
from waxwingsaddle import (
    claim_outbox,
    claim_table,
    claimant,
    claims,
    keeper,
    placement,
)

POLICY = claimant.ClaimPolicy(
    window_s=0.5,
    grace_s=0.02,
    pause_s=0.1,
    max_bytes=10_000_000,
)
KEPT_MS = 3_600_000
LEASE_S = 3
# Fewer buckets make each change of membership cheaper to simulate.
BUCKETS = 32


@contextmanager
def few_buckets():
    """Places keys in few buckets."""
    with ExitStack() as stack:
        for module in (claim_table, keeper, placement):
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
        self.keeper = keeper.Keeper(self.name, table, window_s, clock, life)
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


@dataclass
class Attempt:
    """What a caller was told."""

    key: int
    asked_s: float
    told: str = ''
    answer: bytes | None = None


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


class Callers:
    """Callers that send and resend keyed calls, and what really ran."""

    def __init__(self, zone):
        """Starts without calls."""
        self.zone = zone
        self.rng = zone.rng
        self.runs = Counter()
        self.first_run_s = {}
        self.answers = {}
        self.attempts = []

    def call(self, key):
        """One caller sends a call with a key to a random host."""
        host = self.random_host()
        now_s = self.zone.loop.now_s
        attempt = Attempt(key, now_s)
        self.attempts.append(attempt)
        wanted = claimant.Wanted(
            place=claims.place_of('orders', str(key)),
            home='z',
            kept_ms=KEPT_MS,
            deadline_s=now_s + 4,
        )
        claimed = partial(self.claimed, host, attempt)
        steps = host.claimant.claim(wanted)
        Steps(self.zone, host, steps, claimed).advance()

    def claimed(self, host, attempt, outcome):
        """The entry node has the result of the claim."""
        if isinstance(outcome, claims.Granted):
            self.dispatch(host, attempt, outcome)
        elif isinstance(outcome, claims.Stored):
            self.tell(attempt, 'ran', outcome.answer)
        else:
            is_absent = isinstance(outcome, claims.Absent)
            self.tell(attempt, 'not-run' if is_absent else 'unknown')

    def dispatch(self, host, attempt, granted):
        """Sends a claimed call to a guard: refused, run, or late."""
        luck = self.rng.randrange(10)
        if luck < 3:
            self.release(host, attempt, granted)
            return
        late_s = 0.02
        if luck == 9:
            self.tell(attempt, 'unknown')
            late_s = self.rng.uniform(0, 10)
        guard = self.random_host()
        self.zone.loop.at(late_s, self.execute, guard, attempt, granted)

    def release(self, host, attempt, granted):
        """A guard refused the call."""
        released = claims.Claim(
            granted.place,
            granted.claim_id,
            claims.ClaimState.RELEASED,
            claimant.RELEASED_KEPT_MS,
        )
        host.outbox.put(released, granted.home)
        steps = host.claimant.release(granted, 0.5)
        told = partial(self.released, attempt)
        Steps(self.zone, host, steps, told).advance()

    def released(self, attempt, is_certain):
        """The entry node knows whether the release is certain."""
        self.tell(attempt, 'not-run' if is_certain else 'unknown')

    def execute(self, guard, attempt, granted):
        """The upstream of a guard runs the call, if the guard lives."""
        if not self.zone.is_current(guard):
            return
        self.runs[attempt.key] += 1
        self.first_run_s.setdefault(attempt.key, self.zone.loop.now_s)
        answer = f'{attempt.key}-{granted.claim_id}'.encode()
        self.answers[attempt.key] = answer
        done = claims.Claim(
            granted.place,
            granted.claim_id,
            claims.ClaimState.DONE,
            granted.kept_ms,
            answer,
        )
        guard.outbox.put(done, granted.home)
        if not attempt.told:
            self.tell(attempt, 'ran', answer)

    def tell(self, attempt, told, answer=None):
        """The caller gets an outcome."""
        attempt.told = told
        attempt.answer = answer

    def random_host(self):
        """Returns a running host."""
        return self.zone.hosts[self.rng.choice(sorted(self.zone.hosts))]

    def faults(self):
        """Returns every broken promise."""
        for key, runs in self.runs.items():
            if runs > 1:
                yield f'key {key} ran {runs} times'
        for attempt in self.attempts:
            ran_s = self.first_run_s.get(attempt.key, float('inf'))
            if attempt.told == 'not-run' and ran_s < attempt.asked_s:
                yield f'key {attempt.key}: not-run, but it had run'
            if attempt.told != 'ran' or attempt.answer is None:
                continue
            if attempt.answer != self.answers.get(attempt.key):
                yield f'key {attempt.key}: not the answer of its run'


class Disturber:
    """Kills, restarts and drops hosts, one at a time."""

    def __init__(self, zone):
        """Begins to disturb."""
        self.zone = zone
        self.rng = zone.rng
        self.disturb()

    def disturb(self):
        """Starts a disturbance when the last one is over."""
        self.zone.loop.at(self.rng.uniform(0.2, 3), self.disturb)
        if self.zone.is_calm():
            name = self.rng.choice(sorted(self.zone.hosts))
            self.rng.choice((self.kill, self.leave, self.drop))(name)

    def kill(self, name):
        """Kills a host: it comes back before or after its lease ends."""
        self.zone.hosts.pop(name)
        down_s = self.rng.choice((0.3, 1, LEASE_S + 4))
        if down_s > LEASE_S:
            self.zone.loop.at(LEASE_S, self.unlist, name)
        self.zone.loop.at(down_s, self.come_back, name)

    def unlist(self, name):
        """The directory drops a host."""
        self.zone.change_members(self.zone.members - {name})

    def relist(self, name):
        """The directory lists a host."""
        self.zone.change_members(self.zone.members | {name})

    def drop(self, name):
        """The directory drops a live host for a moment."""
        self.unlist(name)
        self.zone.loop.at(self.rng.uniform(0.1, 4), self.relist, name)

    def come_back(self, name):
        """A host starts; the directory lists it and tells it the members."""
        host = self.zone.start(name)
        self.relist(name)
        told_s = self.rng.uniform(0, 0.5)
        self.zone.loop.at(told_s, self.zone.see, host, self.zone.members)

    def leave(self, name):
        """Restarts a host gracefully: claims are copied before it stops."""
        host = self.zone.hosts[name]
        copies = dict(host.keeper.leave())
        self.unlist(name)
        self.zone.loop.at(1.5, self.copy, host, copies)

    def copy(self, host, copies):
        """Sends copies until all are confirmed, then stops."""
        if not copies:
            self.zone.hosts.pop(host.name)
            self.zone.loop.at(1, self.come_back, host.name)
            return
        for other, part in copies.items():
            message = claims.ClaimHandOver(part)
            confirm = partial(self.confirm, copies, other)
            self.zone.ask(host, other, message, confirm)
        self.zone.loop.at(0.2, self.copy, host, copies)

    def confirm(self, copies, other, _reply):
        """Takes in that a host has kept the copies for it."""
        copies.pop(other, None)


def run(seed, size=6, loss_percent=10, keys=60, length_s=60):
    """Runs callers and disturbances, then lets all messages arrive."""
    zone = Zone(seed, size, loss_percent)
    callers = Callers(zone)
    Disturber(zone)
    for key in range(keys):
        first_s = zone.rng.uniform(0, length_s)
        for _ in range(zone.rng.randint(1, 5)):
            gap_s = zone.rng.choice((0, 0.1, 2, 10, 30))
            zone.loop.at(first_s + gap_s, callers.call, key)
    zone.loop.run(length_s + 50)
    return callers
