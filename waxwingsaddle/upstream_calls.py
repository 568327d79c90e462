"""Runs calls at the upstreams of this node, under their guards."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from eventlet.event import Event

from waxwingsaddle import metrics
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Answer, Request, not_run
from waxwingsaddle.config_models import Service
from waxwingsaddle.guard import (
    Admitted,
    Duplicate,
    Guard,
    GuardPolicy,
    Queued,
    Refused,
)
from waxwingsaddle.guard_log import GuardLog
from waxwingsaddle.guarded_stream import GuardedStream
from waxwingsaddle.upstream_client import UpstreamClient, UpstreamClientPolicy
from waxwingsaddle.upstream_connection import Exchange, request_id_of
from waxwingsaddle.upstreams import Announcement, Upstreams
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.util.recent import RecentSet

_CANCELLED = 'cancelled'
_DRAINING = 'draining'

_sheds = metrics.counter(
    'waxwing_guard_refused',
    'Calls that the guards of this node refused.',
    ('reason',),
)
_duplicates = metrics.counter(
    'waxwing_guard_duplicates',
    'Calls dropped because their identifier was seen before.',
)
_waited = metrics.histogram(
    'waxwing_guard_wait_seconds',
    'Time that calls waited for a slot, those that got one at once left out.',
)
_ran = metrics.histogram(
    'waxwing_upstream_seconds',
    'Time from the hand-over of a call to the head of its answer.',
)


@dataclass(slots=True)
class _Guarded:
    """One upstream with its guard and its connections."""

    announcement: Announcement
    guard: Guard
    leg: UpstreamClient


@dataclass(slots=True)
class _Job:
    """One call at a guard."""

    call: Call
    guarded: _Guarded
    exchange: Exchange
    turn: Event


class UpstreamCalls:
    """Admits calls to the upstreams of this node and runs them.

    Args:
        upstreams: The announced upstreams.
        configuration: Service with `current`, for the tunables of guards.
        policy: Tunables of the HTTP legs.
        report_done: Takes the claim and the answer of each keyed call that ran.
        call_ids_kept_s: How long call identifiers are remembered.
        drain_wait_s: How long a draining upstream takes calls of nodes that
            have not heard of the drain yet.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        configuration,
        policy: UpstreamClientPolicy,
        report_done: Callable[[bytes, Answer], None],
        call_ids_kept_s: float,
        drain_wait_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._upstreams = upstreams
        self._configuration = configuration
        self._policy = policy
        self._report_done = report_done
        self._drain_wait_s = drain_wait_s
        self._clock = clock
        self._guarded: dict[str, _Guarded] = {}
        self._jobs: dict[str, _Job] = {}
        self._seen = RecentSet(call_ids_kept_s, clock)
        self._log = GuardLog(clock)
        metrics.gauge(
            'waxwing_guard_queued',
            'Calls that wait for a slot at the upstreams of this node.',
        ).set_function(self._queued)
        metrics.gauge(
            'waxwing_guard_in_flight',
            'Calls that hold a slot at the upstreams of this node.',
        ).set_function(self._in_flight)

    @property
    def pending(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._jobs)

    def refresh(self, **_fields: object) -> None:
        """Adopts the announcements and the configuration in force."""
        announced = {one.name: one for one in self._upstreams.announcements()}
        for gone in self._guarded.keys() - announced.keys():
            self._guarded.pop(gone).leg.close()
        for name, announcement in announced.items():
            self._adopt(name, announcement)

    def run(
        self,
        upstream: str,
        call: Call,
        request: Request,
        claim: bytes = b'',
    ) -> Answer | None:
        """Runs a call; blocks its green thread.

        Args:
            upstream: Name of the upstream.
            call: The call as the guard sees it.
            request: What to send.
            claim: Encoded claim of the idempotency key; empty without one.

        Returns:
            How the call ended; its `stream` must be closed. None if a call
            with this identifier came before.
        """
        if not self._seen.add(call.call_id):
            _duplicates.inc()
            return None
        guarded = self._guarded.get(upstream)
        if guarded is None:
            return not_run('no-upstream')
        begun_s = self._clock()
        job = _Job(call, guarded, Exchange(), Event())
        self._jobs[call.call_id] = job
        try:
            answer = self._admit_and_send(job, request)
        except BaseException:
            self._finish(job, Outcome.CANCELLED, 0)
            raise
        if answer.stream is None:
            self._jobs.pop(call.call_id, None)
        if claim and answer.outcome is Outcome.RAN:
            self._report_done(claim, answer)
        answer.load = guarded.guard.load()
        if answer.outcome is not Outcome.RAN:
            request_id = request_id_of(request, self._policy.names)
            self._log.ended(call, request_id, upstream, answer, begun_s)
        return answer

    def cancel(self, call_id: str) -> None:
        """Withdraws a queued call, or aborts it at the upstream."""
        job = self._jobs.get(call_id)
        if job is None:
            return
        if job.guarded.guard.cancel(call_id):
            job.turn.send(Refused(job.call, _CANCELLED, 0))
        else:
            job.exchange.abort()

    def _admit_and_send(self, job: _Job, request: Request) -> Answer:
        decision = job.guarded.guard.offer(job.call)
        if isinstance(decision, Queued):
            self._answer_all(decision.displaced)
            queued_s = self._clock()
            decision = self._wait_turn(job)
            _waited.observe(self._clock() - queued_s)
        if isinstance(decision, Admitted):
            return self._send(job, decision, request)
        if isinstance(decision, Duplicate):
            raise AssertionError(f'call {job.call.call_id} was offered twice')
        _sheds.labels(decision.reason).inc()
        return not_run(decision.reason, decision.retry_after_ms)

    def _wait_turn(self, job: _Job) -> Admitted | Refused:
        left_s = max(0, job.call.deadline_s - self._clock())
        with eventlet.Timeout(left_s, False):
            return job.turn.wait()
        # The turn may have come in the same round of the event loop.
        if job.guarded.guard.cancel(job.call.call_id):
            return Refused(job.call, 'deadline', 0)
        return job.turn.wait()

    def _send(
        self,
        job: _Job,
        admitted: Admitted,
        request: Request,
    ) -> Answer:
        begun_s = self._clock()
        answer = job.guarded.leg.send(
            request,
            admitted.lane,
            job.call.deadline_s,
            job.exchange,
            job.call.is_idempotent,
        )
        took_s = self._clock() - begun_s
        _ran.observe(took_s)
        if answer.stream is None:
            outcome = answer.outcome
            if job.exchange.is_aborted:
                outcome = Outcome.CANCELLED
            self._finish(job, outcome, took_s)
        else:
            answer.stream = GuardedStream(
                answer.stream,
                self._clock,
                lambda outcome, reading_s: self._finish(
                    job, outcome, took_s + reading_s
                ),
            )
        return answer

    def _finish(self, job: _Job, outcome: Outcome, took_s: float) -> None:
        call_id = job.call.call_id
        self._jobs.pop(call_id, None)
        guard = job.guarded.guard
        self._start(guard.finish_call(call_id, outcome, took_s))
        # An upstream that slows has calls queued that it can't reach in time.
        self._answer_all(guard.expire())

    def _start(self, started: tuple[Admitted, ...]) -> None:
        for admitted in started:
            self._jobs[admitted.call.call_id].turn.send(admitted)

    def _answer_all(self, refusals: tuple[Refused, ...]) -> None:
        for refused in refusals:
            self._jobs[refused.call.call_id].turn.send(refused)

    def _adopt(self, name: str, announcement: Announcement) -> None:
        guarded = self._guarded.get(name)
        service = self._service(announcement.service)
        policy = GuardPolicy.of(service)
        is_new = guarded is None or _is_new(guarded.announcement, announcement)
        if is_new:
            if guarded is not None:
                guarded.leg.close()
            guarded = _Guarded(
                announcement,
                Guard(announcement.slots, policy, self._clock, random.Random()),
                UpstreamClient(
                    announcement.address,
                    self._policy,
                    self._clock,
                    name,
                ),
            )
            self._guarded[name] = guarded
        is_draining = announcement.state == _DRAINING
        if is_draining and is_new:
            # This node has restarted; the others have heard of the drain.
            guarded.guard.drain()
        elif is_draining and guarded.announcement.state != _DRAINING:
            eventlet.spawn_after(self._drain_wait_s, guarded.guard.drain)
        guarded.announcement = announcement
        guarded.leg.pool.most = service.connections or self._policy.connections
        self._start(guarded.guard.configure(announcement.slots, policy))

    def _service(self, name: str) -> Service:
        current = self._configuration.current
        known = {} if current is None else current.document.services
        return known.get(name) or Service()

    def _queued(self) -> int:
        return sum(one.guard.load().queued for one in self._guarded.values())

    def _in_flight(self) -> int:
        return sum(one.guard.load().in_flight for one in self._guarded.values())


def _is_new(before: Announcement, after: Announcement) -> bool:
    # A guard that drains stays so; an upstream that is back gets a new one.
    is_back = before.state == _DRAINING and after.state != _DRAINING
    is_reborn = before.incarnation != after.incarnation
    return is_back or is_reborn or before.address != after.address
