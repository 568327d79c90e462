"""Takes a call of this node to an upstream: choice, retries, hedges, spills."""

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
from waxwingsaddle.retry import Attempt
from waxwingsaddle.service_policies import PolicyTable, ServicePolicies
from waxwingsaddle.tasks import (
    CallTask,
    call_of,
    close_rest,
    count_attempt,
    end_attempt,
    ended,
    hedged_attempts,
    is_moved,
    is_unsent,
    none_left,
)
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstream_keys import Key, Upstream, key_of
from waxwingsaddle.util.outcome import Outcome


class Dispatcher:
    """Runs calls at the upstreams of their services.

    Args:
        host: This host.
        availability_zone: Its availability zone.
        crossing_ms: Round trip to another zone, in milliseconds.
        directory: Service with `upstreams_of`.
        upstream_calls: Runs calls at upstreams of this node.
        remote: Runs calls at other nodes.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        host: str,
        availability_zone: str,
        crossing_ms: float,
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
        self._policies = PolicyTable(availability_zone, crossing_ms, clock)
        # The random part keeps identifiers of restarted nodes apart.
        self._id_prefix = f'{host}-{os.urandom(6).hex()}-'
        self._ids = count(1)

    def run(self, task: CallTask) -> Answer:
        """Runs a call; blocks its green thread.

        Returns:
            How the call ended; its `stream` must be closed.
        """
        if task.is_cancelled:
            return not_run('cancelled')
        answer = self._run(task)
        if task.may_have_run and answer.outcome is Outcome.NOT_RUN:
            # The last attempt did not run, but one before it may have.
            return unknown(answer.reason)
        return answer

    def cancel(self, task: CallTask) -> None:
        """Withdraws a call whose caller is gone."""
        task.is_cancelled = True
        for call_id, upstream in list(task.running.items()):
            self._cancel(call_id, upstream)

    def _run(self, task: CallTask) -> Answer:
        policies = self._policies.of(task.match)
        policies.retries.call_started()
        policies.spills.call_started()
        tried: set[Key] = set()
        while True:
            call = self._call(policies, task, tried)
            upstream = self._choose(policies, task, call, tried)
            if upstream is None:
                full_s = policies.choice.refused_for_s(call, tried)
                return none_left(task, full_s)
            task.number += 1
            answer = self._first_or_hedge(policies, task, call, upstream, tried)
            if task.is_cancelled or not self._is_failed(answer):
                return answer
            if answer.reason == BUSY:
                policies.spills.spilled()
                task.spill()
                continue
            if not self._may_retry(policies, task, call, answer, tried):
                answer.was_retried = answer.was_retried or task.number > 1
                return answer

    def _call(
        self,
        policies: ServicePolicies,
        task: CallTask,
        tried: set[Key],
    ) -> Call:
        entries = self._directory.upstreams_of(task.match.route.service)
        policies.choice.update(entries)
        targets = policies.choice.spill_targets(task.match.name)
        excluded = tried.union(policies.choice.ejected())
        may_spill = policies.spills.may_spill(task.spilled, targets, excluded)
        return call_of(task, self._next_id(), may_spill)

    def _choose(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        tried: set[Key],
    ) -> Upstream | None:
        upstream = policies.choice.choose(call, tried)
        if upstream is None and task.spilled:
            # What was left is gone: wait in the queue of a busy one.
            tried.clear()
            upstream = policies.choice.choose(call)
        return upstream

    def _may_retry(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        answer: Answer,
        tried: set[Key],
    ) -> bool:
        attempt = Attempt(
            call=call,
            outcome=answer.outcome,
            number=task.number,
            was_retried=answer.was_retried,
            retry_after_ms=answer.retry_after_ms,
            most=task.match.route.attempts,
            has_alternative=policies.choice.choose(call, tried) is not None,
            is_free=is_moved(task, answer)
            or (is_unsent(answer) and policies.choice.has_sound(tried)),
        )
        return policies.retries.may_retry(attempt)

    def _first_or_hedge(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
        tried: set[Key],
    ) -> Answer:
        tried.add(key_of(upstream))
        count_attempt(task)
        may_hedge = task.number == 1 and policies.service.hedge_percent
        delay_s = policies.hedges.delay_s(call) if may_hedge else None
        started_s = self._clock()
        if delay_s is None:
            answer = self._attempt(policies, task, call, upstream)
        else:
            answer = self._hedged(
                policies, task, call, upstream, tried, delay_s
            )
        if call.is_idempotent and answer.outcome is Outcome.RAN:
            policies.hedges.observe(call.route, self._clock() - started_s)
        return answer

    def _hedged(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
        tried: set[Key],
        delay_s: float,
    ) -> Answer:
        """Runs an attempt, and a second one elsewhere when it is late."""
        answers: LightQueue = LightQueue()
        attempt = partial(self._queue_attempt, answers, policies, task)
        eventlet.spawn_n(attempt, call, upstream)
        running = [call]
        try:
            _, answer = answers.get(timeout=delay_s)
        except Empty:
            second = replace(call, call_id=self._next_id(), may_spill=False)
            other = policies.choice.choose(second, tried)
            if other is not None and policies.hedges.may_hedge():
                tried.add(key_of(other))
                hedged_attempts.inc()
                eventlet.spawn_n(attempt, second, other)
                running.append(second)
            return self._first_good(task, answers, running)
        return answer

    def _queue_attempt(
        self,
        answers: LightQueue,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
    ) -> None:
        answer = self._attempt(policies, task, call, upstream)
        answers.put((call, answer))

    def _first_good(
        self,
        task: CallTask,
        answers: LightQueue,
        running: list[Call],
    ) -> Answer:
        while True:
            done, answer = answers.get()
            running.remove(done)
            if not running:
                return answer
            if not self._is_failed(answer):
                eventlet.spawn_n(close_rest, answers, len(running))
                for loser in running:
                    self._withdraw(task, loser.call_id)
                return answer

    def _attempt(
        self,
        policies: ServicePolicies,
        task: CallTask,
        call: Call,
        upstream: Upstream,
    ) -> Answer:
        if call.call_id in task.withdrawn:
            return not_run('withdrawn')
        started_s = self._clock()
        ticket = policies.choice.started(upstream, call)
        task.running[call.call_id] = upstream
        answer = None
        try:
            answer = self._send(call, upstream, task)
        finally:
            elapsed_s = end_attempt(
                task, call.call_id, answer, started_s, self._clock
            )
            policies.finished(ticket, upstream, ended(answer, elapsed_s))
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
        # The green thread of a hedge may not have begun yet when the first
        # attempt is answered, or may have ended with its answer queued.
        upstream = task.running.get(call_id)
        if upstream is None:
            task.withdrawn.add(call_id)
        else:
            self._cancel(call_id, upstream)

    def _cancel(self, call_id: str, upstream: Upstream) -> None:
        if upstream.host == self._host:
            self._upstream_calls.cancel(call_id)
        else:
            self._remote.cancel(call_id)

    def _next_id(self) -> str:
        return f'{self._id_prefix}{next(self._ids)}'

    def _is_failed(self, answer: Answer) -> bool:
        return answer.outcome is not Outcome.RAN
