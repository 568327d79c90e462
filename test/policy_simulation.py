"""Discrete-event simulation of the call policy on one service.

Each upstream host is an entry node as well.
"""

import random
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count

from test.policy_plans import Figures, Kind
from test.virtual_network import Loop
from waxwingsaddle.call_class import Call
from waxwingsaddle.ejection import Evidence
from waxwingsaddle.guard import Guard
from waxwingsaddle.guard_decisions import (
    BUSY,
    Admitted,
    GuardPolicy,
    Queued,
    Refused,
)
from waxwingsaddle.hedging import HedgingPolicy
from waxwingsaddle.load_balancer import LoadBalancer, key_of
from waxwingsaddle.retry import FailedAttempt, RetryPolicy
from waxwingsaddle.spillover import SpilloverPolicy
from waxwingsaddle.upstream_estimate import AttemptResult
from waxwingsaddle.util.outcome import Outcome


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
    balancer: LoadBalancer
    retry: RetryPolicy
    hedging: HedgingPolicy
    spillover: SpilloverPolicy


@dataclass(eq=False)
class Sent:
    """One call and its attempts in flight."""

    kind: Kind
    call: Call
    node: Node
    started_s: float
    attempts: int = 0
    spilled: int = 0
    tried: set = field(default_factory=set)
    flying: dict = field(default_factory=dict)
    is_over: bool = False


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
            self.loop.call_later(self.rng.uniform(0, 0.02), self.tick, entry)
        self.nodes = [
            Node(
                zone,
                LoadBalancer(
                    zone, deployment.crossing_s * 1000, service, clock, self.rng
                ),
                RetryPolicy(service, clock),
                HedgingPolicy(service),
                SpilloverPolicy(service),
            )
            for zone in 'abcabcabcabc'
        ]
        self.waiting = {}

    def run(self):
        """Runs the plan."""
        for kind in self.plan.kinds:
            self.loop.call_later(0, self.arrive, kind)
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
        self.loop.call_later(gap_s, self.arrive, kind)
        call = Call(
            '',
            kind.route,
            kind.work,
            kind.priority,
            kind.is_idempotent,
            now_s + kind.left_s,
        )
        sent = Sent(kind, call, self.rng.choice(self.nodes), now_s)
        self.figures.calls += 1
        sent.node.balancer.update(self.entries)
        sent.node.retry.record_call()
        sent.node.spillover.record_call()
        delay_s = sent.node.hedging.delay_s(call)
        self.attempt(sent)
        if delay_s is not None:
            self.loop.call_later(delay_s, self.hedge, sent)

    def attempt(self, sent):
        """Sends one attempt, if an upstream is left."""
        if self.plan.is_random:
            left = [
                one for one in self.entries if key_of(one) not in sent.tried
            ]
            entry = self.rng.choice(left) if left else None
        else:
            entry = sent.node.balancer.choose(sent.call, sent.tried)
        if entry is None:
            return False
        call_id = str(next(self.numbers))
        sent.attempts += 1
        self.figures.attempts += 1
        sent.tried.add(key_of(entry))
        ticket = sent.node.balancer.start_attempt(entry, sent.call)
        sent.flying[call_id] = (entry, ticket, self.loop.now_s)
        may_spill = (
            not self.plan.is_random
            and len(sent.flying) == 1
            and sent.node.spillover.may_spill(
                sent.spilled,
                self.entries,
                sent.tried.union(sent.node.balancer.ejected_keys())
                - {key_of(entry)},
            )
        )
        call = replace(sent.call, call_id=call_id, may_spill=may_spill)
        self.waiting[call_id] = sent
        self.loop.call_later(self.trip_s(sent, entry), self.offer, entry, call)
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
        run_s = kind.run_s * self.rng.lognormvariate(
            -(kind.spread**2) / 2, kind.spread
        )
        if entry.is_slow:
            run_s *= self.plan.slow_factor
        self.loop.call_later(run_s, self.end, entry, call, run_s)

    def end(self, entry, call, run_s):
        """The upstream answers."""
        started = entry.guard.finish_call(call.call_id, Outcome.RAN, run_s)
        for admitted in started:
            self.start(entry, admitted)
        self.reply(entry, call, Evidence.ANSWERED)

    def refuse(self, entry, refused):
        """The guard refuses."""
        if refused.reason == BUSY:
            self.reply(entry, refused.call, Evidence.REFUSED, is_busy=True)
            return
        self.reply(
            entry, refused.call, Evidence.REFUSED, refused.retry_after_ms
        )

    def reply(self, entry, call, evidence, retry_after_ms=0, *, is_busy=False):
        """The answer travels back."""
        sent = self.waiting[call.call_id]
        load = entry.guard.load()
        done = partial(
            self.take, sent, call.call_id, evidence, load, is_busy=is_busy
        )
        self.loop.call_later(self.trip_s(sent, entry), done, retry_after_ms)

    def take(self, sent, call_id, evidence, load, retry_after_ms, *, is_busy):
        """The entry node gets the answer."""
        flight = sent.flying.pop(call_id, None)
        if flight is None:
            return
        _, ticket, sent_s = flight
        now_s = self.loop.now_s
        ended = AttemptResult(evidence, now_s - sent_s, load, retry_after_ms)
        sent.node.balancer.finish_attempt(ticket, ended)
        if evidence is Evidence.ANSWERED:
            self.answer(sent)
            return
        if sent.flying:
            return
        if is_busy:
            sent.node.spillover.record_spillover()
            sent.spilled += 1
            self.attempt(sent)
            return
        number = sent.attempts - sent.spilled
        attempt = FailedAttempt(sent.call, Outcome.NOT_RUN, number)
        if not (sent.node.retry.may_retry(attempt) and self.attempt(sent)):
            sent.is_over = True
            route = sent.kind.route
            self.figures.refused_s[route].append(now_s)

    def answer(self, sent):
        """The caller gets its answer; other attempts are cancelled."""
        sent.is_over = True
        took_s = self.loop.now_s - sent.started_s
        sent.node.hedging.observe(sent.kind.route, took_s)
        self.figures.took_s[sent.kind.route].append((sent.started_s, took_s))
        losers = tuple(sent.flying.items())
        sent.flying.clear()
        for call_id, (entry, ticket, sent_s) in losers:
            lost_s = self.loop.now_s - sent_s
            ended = AttemptResult(Evidence.CANCELLED, lost_s)
            sent.node.balancer.finish_attempt(ticket, ended)
            trip_s = self.trip_s(sent, entry)
            self.loop.call_later(trip_s, self.cancel, entry, call_id)

    def cancel(self, entry, call_id):
        """The guard withdraws an attempt."""
        if entry.guard.cancel(call_id):
            return
        started = entry.guard.finish_call(call_id, Outcome.CANCELLED, 0)
        for admitted in started:
            self.start(entry, admitted)

    def hedge(self, sent):
        """The delay of a hedge is over."""
        first = 1 + sent.spilled
        is_late = not sent.is_over and sent.attempts == first
        if is_late and sent.flying and sent.node.hedging.may_hedge():
            self.attempt(sent)

    def tick(self, entry):
        """Timers of an upstream and its guard."""
        now_s = self.loop.now_s
        is_slow = self.plan.slow_from_s <= now_s < self.plan.slow_to_s
        entry.is_slow = is_slow and entry is self.entries[0]
        for refused in entry.guard.expire():
            self.refuse(entry, refused)
        self.loop.call_later(0.02, self.tick, entry)
