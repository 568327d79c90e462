"""Runs the calls of this node: load balancing, retries, hedging, spillover."""

import os
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count

import eventlet
from eventlet.queue import Empty, LightQueue

from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Answer, not_run, unknown
from waxwingsaddle.guard_decisions import BUSY
from waxwingsaddle.remote_upstreams import RemoteCalls
from waxwingsaddle.retry import FailedAttempt
from waxwingsaddle.service_policies import PolicyTable, ServicePolicies
from waxwingsaddle.tasks import (
    CallTask,
    allow_guard_move,
    build_call,
    close_losers,
    count_attempt,
    end_attempt,
    hedged_attempts,
    is_unsent,
    no_upstream_answer,
)
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstream_keys import Upstream, UpstreamKey, key_of
from waxwingsaddle.util.outcome import Outcome


class Dispatcher:
    """Runs calls at upstreams of their services, on this node or others.

    Args:
        host: Name of this host.
        policies: Policies of each service.
        directory: Service with `upstreams_of`, the directory of upstreams.
        upstream_calls: Runs calls at the upstreams of this node.
        remote: Runs calls at the upstreams of other nodes.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        host: str,
        policies: PolicyTable,
        directory,
        upstream_calls: UpstreamCalls,
        remote: RemoteCalls,
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._directory = directory
        self._upstream_calls = upstream_calls
        self._remote = remote
        self._clock = clock
        self._policies = policies
        # The random part keeps call identifiers unique across restarts.
        self._id_prefix = f'{host}-{os.urandom(6).hex()}-'
        self._ids = count(1)

    def run(self, task: CallTask) -> Answer:
        """Runs a call and blocks the calling green thread until it ends.

        Returns:
            The answer of the call; the caller must close its `stream`.
        """
        if task.is_cancelled:
            return not_run('cancelled')
        answer = self._run(task)
        if task.may_have_run and answer.outcome is Outcome.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            return unknown(answer.reason)
        return answer

    def cancel(self, task: CallTask) -> None:
        """Cancels all attempts of a call whose caller has disconnected."""
        task.is_cancelled = True
        for call_id, upstream in list(task.in_flight.items()):
            self._cancel(call_id, upstream)

    def _run(self, task: CallTask) -> Answer:
        policies = self._policies.for_match(task.match)
        policies.retry.record_call()
        policies.spillover.record_call()
        tried: set[UpstreamKey] = set()
        while True:
            call = self._build_call(policies, task, tried)
            upstream = self._choose_upstream(policies, task, call, tried)
            if upstream is None:
                retry_after_s = policies.balancer.hold_off_s(call, tried)
                known = self._directory.upstreams_of(task.match.route.service)
                return no_upstream_answer(task, retry_after_s, known, tried)
            task.attempts += 1
            answer = self._run_with_hedge(policies, task, call, upstream, tried)
            if task.is_cancelled or not self._is_failed(answer):
                return answer
            if answer.reason == BUSY:
                policies.spillover.record_spillover()
                task.record_spillover()
                continue
            if not self._may_retry(policies, task, call, answer, tried):
                answer.was_retried = answer.was_retried or task.attempts > 1
                return answer

    def _build_call(
        self,
        policies: ServicePolicies,
        task: CallTask,
        tried: set[UpstreamKey],
    ) -> Call:
        entries = self._directory.upstreams_of(task.match.route.service)
        policies.balancer.update(entries)
        policies.bar_versions(entries, task, tried)
        targets = policies.balancer.spillover_targets(task.match.name)
        excluded = tried.union(policies.balancer.ejected_keys())
        may_spill = policies.spillover.may_spill(
            task.spillovers, targets, excluded
        )
        return build_call(task, self._new_id(), may_spill)

    def _choose_upstream(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        tried: set[UpstreamKey],
    ) -> Upstream | None:
        upstream = policies.balancer.choose(call, tried)
        if upstream is None and policies.bar_test(task, tried):
            upstream = policies.balancer.choose(call, tried)
        if upstream is None and task.spillovers:
            # No untried upstream is available: wait in a busy one's queue.
            tried &= task.barred
            upstream = policies.balancer.choose(call, tried)
        return upstream

    def _may_retry(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        answer: Answer,
        tried: set[UpstreamKey],
    ) -> bool:
        attempt = FailedAttempt(
            call=call,
            outcome=answer.outcome,
            number=task.attempts,
            was_retried=answer.was_retried,
            retry_after_ms=answer.retry_after_ms,
            max_attempts=task.match.route.attempts,
            has_alternative=policies.balancer.choose(call, tried) is not None,
            is_free=allow_guard_move(task, answer)
            or (is_unsent(answer) and policies.balancer.has_responsive(tried)),
        )
        return policies.retry.may_retry(attempt)

    def _run_with_hedge(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
        tried: set[UpstreamKey],
    ) -> Answer:
        tried.add(key_of(upstream))
        count_attempt(task)
        may_hedge = task.attempts == 1 and policies.service.hedge_percent
        delay_s = policies.hedging.delay_s(call) if may_hedge else None
        started_s = self._clock()
        if delay_s is None:
            answer = self._run_attempt(policies, task, call, upstream)
        else:
            answer = self._race_hedge(
                policies, task, call, upstream, tried, delay_s
            )
        if call.is_idempotent and answer.outcome is Outcome.RAN:
            policies.hedging.observe(call.route, self._clock() - started_s)
        return answer

    def _race_hedge(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
        tried: set[UpstreamKey],
        delay_s: float,
    ) -> Answer:
        """Runs an attempt, and a second one elsewhere if it takes long."""
        answers: LightQueue = LightQueue()
        attempt = partial(self._queue_attempt, answers, policies, task)
        eventlet.spawn_n(attempt, call, upstream)
        pending = [call]
        try:
            _, answer = answers.get(timeout=delay_s)
        except Empty:
            second = replace(call, call_id=self._new_id(), may_spill=False)
            other = policies.balancer.choose(second, tried)
            if other is not None and policies.hedging.may_hedge():
                tried.add(key_of(other))
                hedged_attempts.inc()
                eventlet.spawn_n(attempt, second, other)
                pending.append(second)
            return self._first_success(task, answers, pending)
        return answer

    def _queue_attempt(
        self,
        answers: LightQueue,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
    ) -> None:
        answer = self._run_attempt(policies, task, call, upstream)
        answers.put((call, answer))

    def _first_success(
        self,
        task: CallTask,
        answers: LightQueue,
        pending: list[Call],
    ) -> Answer:
        while True:
            done, answer = answers.get()
            pending.remove(done)
            if not pending:
                return answer
            if not self._is_failed(answer):
                eventlet.spawn_n(close_losers, answers, len(pending))
                for loser in pending:
                    self._withdraw(task, loser.call_id)
                return answer

    def _run_attempt(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
    ) -> Answer:
        if call.call_id in task.withdrawn_ids:
            return not_run('withdrawn')
        started_s = self._clock()
        ticket = policies.start_attempt(upstream, call)
        task.in_flight[call.call_id] = upstream
        answer = None
        try:
            answer = self._send(call, upstream, task)
        finally:
            result = end_attempt(
                task, call.call_id, answer, started_s, self._clock
            )
            policies.finish_attempt(ticket, upstream, result)
        return answer

    def _send(self, call: Call, upstream: Upstream, task: CallTask) -> Answer:
        if upstream.host != self._host:
            return self._remote.run(
                upstream.call_address,
                upstream.name,
                call,
                task.request,
                task.claim,
            )
        answer = self._upstream_calls.run(
            upstream.name,
            call,
            task.request,
            task.claim,
        )
        return answer or unknown('duplicate')

    def _withdraw(self, task: CallTask, call_id: str) -> None:
        # When the first attempt is answered, the green thread of the hedge
        # may not have started yet, or may have ended with its answer queued.
        upstream = task.in_flight.get(call_id)
        if upstream is None:
            task.withdrawn_ids.add(call_id)
        else:
            self._cancel(call_id, upstream)

    def _cancel(self, call_id: str, upstream: Upstream) -> None:
        if upstream.host == self._host:
            self._upstream_calls.cancel(call_id)
        else:
            self._remote.cancel(call_id)

    def _new_id(self) -> str:
        return f'{self._id_prefix}{next(self._ids)}'

    def _is_failed(self, answer: Answer) -> bool:
        return answer.outcome is not Outcome.RAN
