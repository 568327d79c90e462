"""Runs calls at the upstreams of this node under admission control."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import eventlet
from eventlet.event import Event

from waxwingsaddle import guard_metrics, metrics
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Answer, Request, not_run
from waxwingsaddle.config_models import Service
from waxwingsaddle.guard import (
    Admitted,
    Duplicate,
    Guard,
    GuardPolicy,
    Load,
    Queued,
    Refused,
)
from waxwingsaddle.guard_log import GuardLog
from waxwingsaddle.guarded_stream import GuardedStream
from waxwingsaddle.guarded_upstream import GuardedUpstream
from waxwingsaddle.read_ahead import ReadAheadBuffer, ReadAheadStream
from waxwingsaddle.upstream_client import UpstreamClient, UpstreamClientPolicy
from waxwingsaddle.upstream_connection import Exchange, request_id_of
from waxwingsaddle.upstreams import Announcement, Upstreams
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.util.recent_set import RecentSet

_CANCELLED = 'cancelled'
_SILENT = 'silent'
_DRAINING = 'draining'
# Time for which queued calls are still sent after that, in drain waits. All of
# it lies within the bound on drains.
_QUEUE_DRAIN_FACTOR = 2


@dataclass(slots=True)
class _Job:
    """A queued or running call; `decision` is set once it leaves the queue."""

    call: Call
    guarded: GuardedUpstream
    exchange: Exchange
    decision: Event
    is_keyed: bool


class UpstreamCalls:
    """Admits calls to the upstreams of this node and runs them.

    Args:
        upstreams: The announced upstreams.
        configuration: Has the configuration in force as `current`.
        policy: Tunables of the HTTP clients.
        record_execution: Gets claim and answer of each keyed call that ran.
        call_ids_kept_s: How long duplicate call identifiers are detected.
        drain_wait_s: How long a draining upstream still accepts calls, since
            other nodes may not know of the drain yet.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        on_run: Called with upstream, call, answer and seconds of each run.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        configuration,
        policy: UpstreamClientPolicy,
        record_execution: Callable[[bytes, Answer], None],
        call_ids_kept_s: float,
        drain_wait_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._upstreams = upstreams
        self._configuration = configuration
        self._policy = policy
        self._record_execution = record_execution
        self._drain_wait_s = drain_wait_s
        self._clock = clock
        self.on_run: Callable[..., None] | None = None
        self._guarded: dict[str, GuardedUpstream] = {}
        self._jobs: dict[str, _Job] = {}
        self._seen_ids = RecentSet(call_ids_kept_s, clock)
        self._log = GuardLog(clock)
        self._read_ahead = ReadAheadBuffer(policy.read_ahead_bytes)
        metrics.gauge(
            'waxwing_guard_queued',
            'Calls that wait for a slot at the upstreams of this node.',
        ).set_function(partial(self._sum_loads, 'queued'))
        metrics.gauge(
            'waxwing_guard_in_flight',
            'Calls that hold a slot at the upstreams of this node.',
        ).set_function(partial(self._sum_loads, 'in_flight'))

    @property
    def pending(self) -> int:
        """Number of calls that are queued or running."""
        return len(self._jobs)

    def load_of(self, upstream: str) -> Load | None:
        """Returns the load of an upstream; None if it is not on this host."""
        guarded = self._guarded.get(upstream)
        return guarded and guarded.guard.load()

    def refresh(self, **_fields: object) -> None:
        """Applies the current announcements and configuration."""
        latest = {
            entry.name: entry for entry in self._upstreams.announcements()
        }
        for removed in self._guarded.keys() - latest.keys():
            left = self._guarded.pop(removed)
            left.client.close()
            eventlet.spawn_n(self._drain, left)
        for name, announcement in latest.items():
            self._update_upstream(name, announcement)

    def run(
        self,
        upstream: str,
        call: Call,
        request: Request,
        claim: bytes = b'',
    ) -> Answer | None:
        """Runs a call; blocks the green thread.

        Args:
            upstream: Name of the upstream.
            call: The call as the guard sees it.
            request: The request to send.
            claim: Encoded claim of the idempotency key; empty without one.

        Returns:
            The answer, whose `stream` must be closed. None for a duplicate
            call identifier.
        """
        if not self._seen_ids.add(call.call_id):
            guard_metrics.DUPLICATES.inc()
            return None
        guarded = self._guarded.get(upstream)
        if guarded is None:
            return not_run('no-upstream')
        started_s = self._clock()
        job = _Job(call, guarded, Exchange(), Event(), bool(claim))
        self._jobs[call.call_id] = job
        try:
            answer = self._admit_and_send(job, request)
        except BaseException:
            self._finish(job, Outcome.CANCELLED, 0)
            raise
        if answer.stream is None:
            self._jobs.pop(call.call_id, None)
        if answer.reason == 'other-upstream':
            self._upstreams.refute(upstream)
        if claim and answer.outcome is Outcome.RAN:
            self._record_execution(claim, answer)
        answer.load = guarded.guard.load(call.route)
        if answer.outcome is not Outcome.RAN:
            request_id = request_id_of(request, self._policy.names)
            self._log.log_unserved(
                call, request_id, upstream, answer, started_s
            )
        return answer

    def cancel(self, call_id: str) -> None:
        """Removes a queued call, or aborts a running one."""
        job = self._jobs.get(call_id)
        if job is None:
            return
        if job.guarded.guard.cancel(call_id):
            job.decision.send(Refused(job.call, _CANCELLED, 0))
        else:
            job.exchange.abort()

    def _admit_and_send(self, job: _Job, request: Request) -> Answer:
        decision = job.guarded.guard.offer(job.call)
        if isinstance(decision, Queued):
            decision = self._wait_queued(job, decision)
        if isinstance(decision, Admitted):
            return self._run_admitted(job, decision, request)
        if isinstance(decision, Duplicate):
            raise AssertionError(f'call {job.call.call_id} was offered twice')
        guard_metrics.REFUSED.labels(decision.reason).inc()
        return not_run(decision.reason, decision.retry_after_ms)

    def _wait_queued(self, job: _Job, queued: Queued) -> Admitted | Refused:
        self._wake(queued.displaced)
        queued_s = self._clock()
        decision = self._wait_for_decision(job)
        guard_metrics.WAIT.observe(self._clock() - queued_s)
        return decision

    def _wait_for_decision(self, job: _Job) -> Admitted | Refused:
        remaining_s = max(0, job.call.deadline_s - self._clock())
        with eventlet.Timeout(remaining_s, False):
            return job.decision.wait()
        # The decision may have been sent in this round of the event loop.
        if job.guarded.guard.cancel(job.call.call_id):
            return Refused(job.call, 'deadline', 0)
        return job.decision.wait()

    def _run_admitted(
        self, job: _Job, admitted: Admitted, request: Request
    ) -> Answer:
        started_s = self._clock()
        job.guarded.send(job.call)
        answer = job.guarded.client.send(
            request,
            admitted.lane,
            job.call.deadline_s,
            job.exchange,
            job.call.is_idempotent,
            is_answer_stored=job.is_keyed,
        )
        elapsed_s = self._clock() - started_s
        guard_metrics.UPSTREAM_TIME.observe(elapsed_s)
        if self.on_run is not None and not job.exchange.is_aborted:
            self.on_run(job.guarded.announcement, job.call, answer, elapsed_s)
        if answer.stream is None:
            is_aborted = job.exchange.is_aborted
            outcome = Outcome.CANCELLED if is_aborted else answer.outcome
            self._finish(job, outcome, elapsed_s)
            return answer
        job.guarded.answer(job.call)
        guarded_stream = GuardedStream(
            answer.stream,
            self._clock,
            lambda outcome, reading_s: self._finish(
                job, outcome, elapsed_s + reading_s
            ),
        )
        answer.stream = ReadAheadStream(guarded_stream, self._read_ahead)
        return answer

    def _finish(self, job: _Job, outcome: Outcome, elapsed_s: float) -> None:
        call_id = job.call.call_id
        self._jobs.pop(call_id, None)
        guarded = job.guarded
        self._wake(guarded.finish(call_id, outcome, elapsed_s))
        # After a slowdown some queued calls can no longer run in time.
        self._wake(guarded.guard.expire())
        for silent in filter(None, map(self._jobs.get, guarded.silent_calls())):
            if silent.call.is_idempotent:
                silent.exchange.abort(_SILENT)

    def _wake(self, decisions: tuple[Admitted | Refused, ...]) -> None:
        for decision in decisions:
            self._jobs[decision.call.call_id].decision.send(decision)

    def _update_upstream(self, name: str, announcement: Announcement) -> None:
        guarded = self._guarded.get(name)
        service = self._service_of(announcement.service)
        policy = GuardPolicy.of(service)
        is_new = guarded is None or announcement.is_restart_of(
            guarded.announcement
        )
        if is_new:
            if guarded is not None:
                guarded.client.close()
            guarded = GuardedUpstream(
                announcement,
                Guard(announcement.slots, policy, self._clock, random.Random()),
                UpstreamClient(
                    announcement.address, self._policy, self._clock, name
                ),
                self._clock,
            )
            self._guarded[name] = guarded
        is_draining = announcement.state == _DRAINING
        if is_draining and is_new:
            # This node has restarted; the other nodes know of the drain.
            guarded.guard.drain()
        elif is_draining and guarded.announcement.state != _DRAINING:
            eventlet.spawn_n(self._drain, guarded)
        guarded.announcement = announcement
        max_connections = service.connections or self._policy.connections
        guarded.client.pool.max_connections = max_connections
        self._wake(guarded.configure(policy))

    def _drain(self, guarded: GuardedUpstream) -> None:
        eventlet.sleep(self._drain_wait_s)
        guarded.guard.drain()
        eventlet.sleep(self._drain_wait_s * _QUEUE_DRAIN_FACTOR)
        for call_id, job in tuple(self._jobs.items()):
            if job.guarded is guarded and guarded.guard.cancel(call_id):
                job.decision.send(Refused(job.call, _DRAINING, 0))

    def _service_of(self, name: str) -> Service:
        current = self._configuration.current
        services = {} if current is None else current.document.services
        return services.get(name) or Service()

    def _sum_loads(self, field: str) -> int:
        loads = (guarded.guard.load() for guarded in self._guarded.values())
        return sum(getattr(load, field) for load in loads)
