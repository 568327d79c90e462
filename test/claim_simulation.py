"""Random runs of claims on a lossy network, with kills and restarts.

Only one fault is in progress at a time: a killed host, a planned restart, or a
host that the directory drops for a moment. The next fault begins when all
hosts run and are settled.
"""

from collections import Counter
from dataclasses import dataclass
from functools import partial

from test.claim_zone import Steps, Zone
from waxwingsaddle import claimant, claims

RETENTION_MS = 3_600_000
LEASE_S = 3


@dataclass
class Attempt:
    """One attempt of a caller and its outcome."""

    key: int
    sent_s: float
    outcome: str = ''
    answer: bytes | None = None


class Callers:
    """Callers that send and resend calls with keys, and the actual runs."""

    def __init__(self, zone):
        """Creates the callers without sending any call."""
        self.zone = zone
        self.rng = zone.rng
        self.runs = Counter()
        self.first_run_s = {}
        self.answers = {}
        self.attempts = []

    def call(self, key):
        """Sends a call with a key to a random host."""
        host = self.random_host()
        now_s = self.zone.loop.now_s
        attempt = Attempt(key, now_s)
        self.attempts.append(attempt)
        target = claimant.ClaimTarget(
            key_digest=claims.hash_key('orders', str(key)),
            home_zone='z',
            retention_ms=RETENTION_MS,
            deadline_s=now_s + 4,
        )
        on_claimed = partial(self.on_claimed, host, attempt)
        steps = host.claimant.claim(target)
        Steps(self.zone, host, steps, on_claimed).advance()

    def on_claimed(self, host, attempt, outcome):
        """Handles the result of a claim on the entry node."""
        if isinstance(outcome, claims.Granted):
            self.dispatch(host, attempt, outcome)
        elif isinstance(outcome, claims.Stored):
            self.deliver_outcome(attempt, 'ran', outcome.answer)
        else:
            is_absent = isinstance(outcome, claims.Absent)
            self.deliver_outcome(attempt, 'not-run' if is_absent else 'unknown')

    def dispatch(self, host, attempt, granted):
        """Sends a claimed call to a guard, which refuses it or runs it.

        It may also run only after the caller got the outcome `unknown`.
        """
        roll = self.rng.randrange(10)
        if roll < 3:
            self.release(host, attempt, granted)
            return
        delay_s = 0.02
        if roll == 9:
            self.deliver_outcome(attempt, 'unknown')
            delay_s = self.rng.uniform(0, 10)
        guard = self.random_host()
        self.zone.loop.call_later(
            delay_s, self.run_call, guard, attempt, granted
        )

    def release(self, host, attempt, granted):
        """Releases the claim of a call that a guard refused."""
        released = claims.Claim(
            granted.key_digest,
            granted.claim_id,
            claims.ClaimState.RELEASED,
            claimant.RELEASE_RETENTION_MS,
        )
        host.outbox.enqueue(released, granted.home_zone)
        steps = host.claimant.release(granted, 0.5)
        on_result = partial(self.on_released, attempt)
        Steps(self.zone, host, steps, on_result).advance()

    def on_released(self, attempt, is_certain):
        """Answers the caller after a release, which may not be certain."""
        self.deliver_outcome(attempt, 'not-run' if is_certain else 'unknown')

    def run_call(self, guard, attempt, granted):
        """Runs the call on the upstream of a guard, if the guard is up."""
        if not self.zone.is_current(guard):
            return
        self.runs[attempt.key] += 1
        self.first_run_s.setdefault(attempt.key, self.zone.loop.now_s)
        answer = f'{attempt.key}-{granted.claim_id}'.encode()
        self.answers[attempt.key] = answer
        done = claims.Claim(
            granted.key_digest,
            granted.claim_id,
            claims.ClaimState.DONE,
            granted.retention_ms,
            answer,
        )
        guard.outbox.enqueue(done, granted.home_zone)
        if not attempt.outcome:
            self.deliver_outcome(attempt, 'ran', answer)

    def deliver_outcome(self, attempt, outcome, answer=None):
        """Records the outcome that the caller gets."""
        attempt.outcome = outcome
        attempt.answer = answer

    def random_host(self):
        """Returns a random running host."""
        return self.zone.hosts[self.rng.choice(sorted(self.zone.hosts))]

    def violations(self):
        """Yields a message for each violated guarantee."""
        for key, runs in self.runs.items():
            if runs > 1:
                yield f'key {key} ran {runs} times'
        for attempt in self.attempts:
            ran_s = self.first_run_s.get(attempt.key, float('inf'))
            if attempt.outcome == 'not-run' and ran_s < attempt.sent_s:
                yield f'key {attempt.key}: not-run, but it had run'
            if attempt.outcome != 'ran' or attempt.answer is None:
                continue
            if attempt.answer != self.answers.get(attempt.key):
                yield f'key {attempt.key}: not the answer of its run'


class FaultInjector:
    """Kills, restarts and unlists hosts, one at a time."""

    def __init__(self, zone):
        """Starts to inject faults."""
        self.zone = zone
        self.rng = zone.rng
        self.inject_fault()

    def inject_fault(self):
        """Injects a fault if the effects of the last one are over."""
        self.zone.loop.call_later(self.rng.uniform(0.2, 3), self.inject_fault)
        if self.zone.is_quiescent():
            name = self.rng.choice(sorted(self.zone.hosts))
            self.rng.choice((self.kill, self.leave, self.drop))(name)

    def kill(self, name):
        """Kills a host, which returns before or after its lease ends."""
        self.zone.hosts.pop(name)
        down_s = self.rng.choice((0.3, 1, LEASE_S + 4))
        if down_s > LEASE_S:
            self.zone.loop.call_later(LEASE_S, self.unlist, name)
        self.zone.loop.call_later(down_s, self.restart_host, name)

    def unlist(self, name):
        """Removes a host from the directory."""
        self.zone.change_members(self.zone.members - {name})

    def relist(self, name):
        """Adds a host to the directory."""
        self.zone.change_members(self.zone.members | {name})

    def drop(self, name):
        """Removes a running host from the directory for a moment."""
        self.unlist(name)
        self.zone.loop.call_later(self.rng.uniform(0.1, 4), self.relist, name)

    def restart_host(self, name):
        """Starts a host, lists it in the directory and sends it the members."""
        host = self.zone.start(name)
        self.relist(name)
        delay_s = self.rng.uniform(0, 0.5)
        self.zone.loop.call_later(
            delay_s, self.zone.apply_members, host, self.zone.members
        )

    def leave(self, name):
        """Restarts a host as planned: its claims are copied before it stops."""
        host = self.zone.hosts[name]
        copies = dict(host.store.stop_granting())
        self.unlist(name)
        self.zone.loop.call_later(1.5, self.copy, host, copies)

    def copy(self, host, copies):
        """Sends copies until all are confirmed, then stops the host."""
        if not copies:
            self.zone.hosts.pop(host.name)
            self.zone.loop.call_later(1, self.restart_host, host.name)
            return
        for other, batch in copies.items():
            message = claims.ClaimHandOver(batch)
            confirm = partial(self.confirm, copies, other)
            self.zone.query(host, other, message, confirm)
        self.zone.loop.call_later(0.2, self.copy, host, copies)

    def confirm(self, copies, other, _reply):
        """Records that a host has stored its copies."""
        copies.pop(other, None)


def run(seed, size=6, loss_percent=10, keys=60, length_s=60):
    """Runs callers and faults, then lets all messages arrive."""
    zone = Zone(seed, size, loss_percent)
    callers = Callers(zone)
    FaultInjector(zone)
    for key in range(keys):
        first_s = zone.rng.uniform(0, length_s)
        for _ in range(zone.rng.randint(1, 5)):
            gap_s = zone.rng.choice((0, 0.1, 2, 10, 30))
            zone.loop.call_later(first_s + gap_s, callers.call, key)
    zone.loop.run(length_s + 50)
    return callers
