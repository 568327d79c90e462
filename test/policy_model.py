"""Small discrete-event model of the call policy, to tune it.

Each upstream host is an entry node as well. `python -m test.policy_model`
prints each measure beside its baseline from the same run. The figures are of
the model; the data path is measured by waxwing-load.
"""

import random
import sys
from collections import defaultdict
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count

from test.virtual_network import Loop
from waxwingsaddle import config_models
from waxwingsaddle.choice import Choice, Ended, key_of
from waxwingsaddle.ejection import Evidence
from waxwingsaddle.guard import Guard
from waxwingsaddle.hedge import Hedges
from waxwingsaddle.retry import Attempt, Retries
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.verdicts import Admitted, GuardPolicy, Queued, Refused
from waxwingsaddle.work import Call

SHORT_S = 0.02
LONG_S = 0.6
SPREAD = 0.5


@dataclass(frozen=True)
class Deployment:
    """One service of section 1.3."""

    name: str
    upstreams: int
    slots: int
    crossing_s: float

    @property
    def capacity(self):
        """Short calls a second."""
        return self.upstreams * self.slots / SHORT_S


GALLERY = Deployment('gallery', 6, 6, 0.01)
BAYS = Deployment('bays', 5, 13, 0.008)


@dataclass(frozen=True)
class Kind:
    """One kind of calls."""

    route: str
    rate_per_s: float
    run_s: float = SHORT_S
    work: str = 'short'
    priority: str = 'normal'
    is_idempotent: bool = True


@dataclass(frozen=True)
class Plan:
    """What happens in a run; times in seconds."""

    kinds: tuple
    length_s: float = 20
    slow_from_s: float = 1e9
    slow_to_s: float = 1e9
    slow_factor: float = 10
    crest_from_s: float = 1e9
    crest_to_s: float = 1e9
    crest_factor: float = 1
    is_random: bool = False


@dataclass
class Entry:
    """Directory entry of an upstream, and its guard."""

    name: str
    availability_zone: str
    slots: int
    guard: Guard | None = None
    service: str = 'service'
    state: str = 'ready'
    started_ms_ago: int = 3_600_000
    is_slow: bool = False

    @property
    def host(self):
        """The host of the upstream."""
        return self.name


@dataclass
class Node:
    """Policy of one entry node."""

    zone: str
    choice: Choice
    retries: Retries
    hedges: Hedges


@dataclass(eq=False)
class Sent:
    """One call and its attempts in flight."""

    kind: Kind
    call: Call
    node: Node
    started_s: float
    attempts: int = 0
    tried: set = field(default_factory=set)
    flying: dict = field(default_factory=dict)
    is_over: bool = False


@dataclass
class Figures:
    """What a run measured, by route."""

    took_s: dict = field(default_factory=lambda: defaultdict(list))
    refused_s: dict = field(default_factory=lambda: defaultdict(list))
    attempts: int = 0
    calls: int = 0

    def quantile_ms(self, route, share, from_s=0, to_s=1e9):
        """Returns a quantile of the calls that started in a time."""
        kept = sorted(
            took for at, took in self.took_s[route] if from_s <= at < to_s
        )
        return 1000 * kept[min(len(kept) - 1, int(share * len(kept)))]

    def answered_per_s(self, from_s, to_s):
        """Returns the answers that came in a time, of all routes."""
        ended = (
            at + took for calls in self.took_s.values() for at, took in calls
        )
        return sum(from_s <= at < to_s for at in ended) / (to_s - from_s)


class Model:
    """One run of one plan."""

    def __init__(self, deployment, plan, service, seed=1):
        """Builds upstreams and nodes."""
        self.deployment = deployment
        self.plan = plan
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.figures = Figures()
        self.numbers = count()
        policy = GuardPolicy.of(service)
        clock = self.loop.clock
        self.entries = tuple(
            Entry(f'u{number}', 'abc'[number % 3], deployment.slots)
            for number in range(deployment.upstreams)
        )
        for entry in self.entries:
            entry.guard = Guard(entry.slots, policy, clock, self.rng)
            self.loop.at(self.rng.uniform(0, 0.02), self.tick, entry)
        self.nodes = [
            Node(
                zone,
                Choice(
                    zone, deployment.crossing_s * 1000, service, clock, self.rng
                ),
                Retries(service, clock),
                Hedges(service),
            )
            for zone in 'abcabcabcabc'
        ]
        self.waiting = {}

    def run(self):
        """Runs the plan."""
        for kind in self.plan.kinds:
            self.loop.at(0, self.arrive, kind)
        self.loop.run(self.plan.length_s + 3)
        return self.figures

    def arrive(self, kind):
        """A call arrives, and the next is planned."""
        now_s = self.loop.now_s
        if now_s >= self.plan.length_s:
            return
        is_crest = self.plan.crest_from_s <= now_s < self.plan.crest_to_s
        factor = self.plan.crest_factor if is_crest else 1
        gap_s = self.rng.expovariate(kind.rate_per_s * factor)
        self.loop.at(gap_s, self.arrive, kind)
        call = Call(
            '',
            kind.route,
            kind.work,
            kind.priority,
            kind.is_idempotent,
            now_s + 2,
        )
        sent = Sent(kind, call, self.rng.choice(self.nodes), now_s)
        self.figures.calls += 1
        sent.node.choice.update(self.entries)
        sent.node.retries.call_started()
        delay_s = sent.node.hedges.delay_s(call)
        self.attempt(sent)
        if delay_s is not None:
            self.loop.at(delay_s, self.hedge, sent)

    def attempt(self, sent):
        """Sends one attempt, if an upstream is left."""
        if self.plan.is_random:
            left = [
                one for one in self.entries if key_of(one) not in sent.tried
            ]
            entry = self.rng.choice(left) if left else None
        else:
            entry = sent.node.choice.choose(sent.call, sent.tried)
        if entry is None:
            return False
        call_id = str(next(self.numbers))
        sent.attempts += 1
        self.figures.attempts += 1
        sent.tried.add(key_of(entry))
        ticket = sent.node.choice.started(entry, sent.call)
        sent.flying[call_id] = (entry, ticket, self.loop.now_s)
        call = replace(sent.call, call_id=call_id)
        self.waiting[call_id] = sent
        self.loop.at(self.trip_s(sent, entry), self.offer, entry, call)
        return True

    def trip_s(self, sent, entry):
        """Returns the time one way."""
        is_near = entry.availability_zone == sent.node.zone
        return 0.0002 if is_near else self.deployment.crossing_s / 2

    def offer(self, entry, call):
        """The call reaches the guard."""
        if self.waiting[call.call_id].is_over:
            return
        verdict = entry.guard.offer(call)
        if isinstance(verdict, Admitted):
            self.start(entry, verdict)
        elif isinstance(verdict, Refused):
            self.refuse(entry, verdict)
        elif isinstance(verdict, Queued):
            for loser in verdict.displaced:
                self.refuse(entry, loser)

    def start(self, entry, admitted):
        """The upstream runs the call."""
        call = admitted.call
        kind = self.waiting[call.call_id].kind
        run_s = kind.run_s * self.rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        if entry.is_slow:
            run_s *= self.plan.slow_factor
        self.loop.at(run_s, self.end, entry, call, run_s)

    def end(self, entry, call, run_s):
        """The upstream answers."""
        started = entry.guard.finished(call.call_id, Outcome.RAN, run_s)
        for admitted in started:
            self.start(entry, admitted)
        self.reply(entry, call, Evidence.ANSWERED)

    def refuse(self, entry, refused):
        """The guard refuses."""
        self.reply(
            entry, refused.call, Evidence.REFUSED, refused.retry_after_ms
        )

    def reply(self, entry, call, evidence, retry_after_ms=0):
        """The answer travels back."""
        sent = self.waiting[call.call_id]
        load = entry.guard.load()
        done = partial(self.take, sent, call.call_id, evidence, load)
        self.loop.at(self.trip_s(sent, entry), done, retry_after_ms)

    def take(self, sent, call_id, evidence, load, retry_after_ms):
        """The entry node gets the answer."""
        flight = sent.flying.pop(call_id, None)
        if flight is None:
            return
        _, ticket, sent_s = flight
        now_s = self.loop.now_s
        ended = Ended(evidence, now_s - sent_s, load, retry_after_ms)
        sent.node.choice.finished(ticket, ended)
        if evidence is Evidence.ANSWERED:
            self.answer(sent)
            return
        attempt = Attempt(sent.call, Outcome.NOT_RUN, sent.attempts)
        if sent.flying:
            return
        if not (sent.node.retries.may_retry(attempt) and self.attempt(sent)):
            sent.is_over = True
            route = sent.kind.route
            self.figures.refused_s[route].append(now_s)

    def answer(self, sent):
        """The caller gets its answer; other attempts are cancelled."""
        sent.is_over = True
        took_s = self.loop.now_s - sent.started_s
        sent.node.hedges.observe(sent.kind.route, took_s)
        self.figures.took_s[sent.kind.route].append((sent.started_s, took_s))
        losers = tuple(sent.flying.items())
        sent.flying.clear()
        for call_id, (entry, ticket, sent_s) in losers:
            lost_s = self.loop.now_s - sent_s
            ended = Ended(Evidence.CANCELLED, lost_s)
            sent.node.choice.finished(ticket, ended)
            trip_s = self.trip_s(sent, entry)
            self.loop.at(trip_s, self.cancel, entry, call_id)

    def cancel(self, entry, call_id):
        """The guard withdraws an attempt."""
        if entry.guard.cancel(call_id):
            return
        started = entry.guard.finished(call_id, Outcome.CANCELLED, 0)
        for admitted in started:
            self.start(entry, admitted)

    def hedge(self, sent):
        """The delay of a hedge is over."""
        is_late = not sent.is_over and sent.attempts == 1
        if is_late and sent.flying and sent.node.hedges.may_hedge():
            self.attempt(sent)

    def tick(self, entry):
        """Timers of an upstream and its guard."""
        now_s = self.loop.now_s
        is_slow = self.plan.slow_from_s <= now_s < self.plan.slow_to_s
        entry.is_slow = is_slow and entry is self.entries[0]
        for refused in entry.guard.expire():
            self.refuse(entry, refused)
        self.loop.at(0.02, self.tick, entry)


SERVICE = config_models.Service()
UNBOUNDED_MS = 3_600_000


def behind_long_work(deployment):
    """Returns the p99 ratios of short work, with lanes and without."""
    short = Kind('short', 0.4 * deployment.capacity)
    long_rate = 0.4 * deployment.capacity * SHORT_S / LONG_S
    long = Kind('long', long_rate, LONG_S, 'long', 'low')
    unlabelled = replace(long, work='short', priority='normal')
    p99s_ms = [
        Model(deployment, Plan(kinds), SERVICE).run().quantile_ms('short', 0.99)
        for kinds in ((short,), (short, long), (short, unlabelled))
    ]
    return p99s_ms[1] / p99s_ms[0], p99s_ms[2] / p99s_ms[0]


def slowed(deployment, load=0.4):
    """Returns p99 and p99.9 while one upstream is slow, over those when not.

    First with the policy, then with random choice and no hedging.
    """
    kinds = (Kind('read', load * deployment.capacity),)
    calm = Model(deployment, Plan(kinds), SERVICE).run()
    slow = Plan(kinds, slow_from_s=8, slow_to_s=14)
    plain = config_models.Service(hedge_percent=0)
    runs = ((SERVICE, slow), (plain, replace(slow, is_random=True)))
    for service, plan in runs:
        figures = Model(deployment, plan, service).run()
        ratios = (
            figures.quantile_ms('read', share, 8, 14)
            / calm.quantile_ms('read', share, 8, 14)
            for share in (0.99, 0.999)
        )
        yield (*ratios, figures.attempts / figures.calls)


def crest(deployment):
    """Returns what happens at 3 times the capacity.

    Goodput over capacity, bookings refused, p99 of reads a second after the
    crest over that before it. First with the policy, then with random choice
    and unbounded queues.
    """
    book = Kind('book', 0.1 * deployment.capacity, priority='high')
    kinds = (
        Kind('read', 0.4 * deployment.capacity, priority='low'),
        replace(book, is_idempotent=False),
    )
    plan = Plan(kinds, crest_from_s=8, crest_to_s=12, crest_factor=6)
    unbounded = config_models.Service(
        queue_wait_ms=UNBOUNDED_MS, hedge_percent=0
    )
    runs = ((SERVICE, plan), (unbounded, replace(plan, is_random=True)))
    for service, run in runs:
        figures = Model(deployment, run, service).run()
        after_ms = figures.quantile_ms('read', 0.99, 13, 14)
        yield (
            figures.answered_per_s(8.5, 12) / deployment.capacity,
            len(figures.refused_s['book']),
            after_ms / figures.quantile_ms('read', 0.99, 4, 8),
        )


def main():
    """Prints all measures."""
    for deployment in (GALLERY, BAYS):
        lanes, none = behind_long_work(deployment)
        policy, baseline = slowed(deployment)
        _print(deployment, 'short p99 ratio', (lanes,), (none,))
        _print(deployment, 'slowed p99, p99.9, attempts', policy, baseline)
        policy, baseline = crest(deployment)
        _print(deployment, 'crest goodput, refused, after', policy, baseline)


def _print(deployment, title, policy, baseline):
    shown = [
        ', '.join(f'{figure:.3f}' for figure in figures)
        for figures in (policy, baseline)
    ]
    sys.stdout.write(f'{deployment.name}: {title}: {" | ".join(shown)}\n')


if __name__ == '__main__':
    main()
