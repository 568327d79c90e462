"""Random runs of claims over a lossy network, with kills and restarts.

At most one host is down or not settled at a time; graceful restarts and hosts
that the directory drops for a moment come besides.
"""

from collections import Counter
from dataclasses import dataclass
from functools import partial

from test.claim_zone import Steps, Zone
from waxwingsaddle import claimant, claims

KEPT_MS = 3_600_000
LEASE_S = 3


@dataclass
class Attempt:
    """What a caller was told."""

    key: int
    asked_s: float
    told: str = ''
    answer: bytes | None = None


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
