"""Open-loop load generator.

Calls start on schedule, regardless of how fast earlier calls are answered.
"""

import json
import random
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from heapq import merge
from http import HTTPStatus
from itertools import count, pairwise

import urllib3
from eventlet import greenpool, greenthread, sleep

from waxwingsaddle.experiment import Action, Experiment, Flow, Stage
from waxwingsaddle.load_report import Recorder
from waxwingsaddle.standin import CALL_ID_HEADER, is_complete_answer
from waxwingsaddle.strict_client import pool_manager
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s, wall_ms
from waxwingsaddle.util.jsonlines import JsonLinesWriter

CONNECTIONS_PER_ADDRESS = 1024
# Number of connection pools, one for each address. With the default of urllib3
# (10) and more nodes than that, pools and their connections were evicted all
# the time and calls started 0.4 s late.
MAX_ADDRESSES = 2048
MAX_CONCURRENT_CALLS = 20_000
DEFAULT_TIMEOUT_S = 30
# Callers wait longer than their deadline by this margin, so that an answer that
# reports the passed deadline still arrives.
TIMEOUT_MARGIN_S = 1
ACTION_TIMEOUT_S = 5
RESEND_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class Arrival:
    """One scheduled call.

    Attributes:
        at_s: Start, in seconds after the start of the run.
        flow: Flow that the call belongs to.
        call_id: Unique identifier of the call.
    """

    at_s: float
    flow: Flow
    call_id: str

    def __lt__(self, other: 'Arrival') -> bool:
        """Orders arrivals by time, for the merge of the flows."""
        return self.at_s < other.at_s


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller received.

    Attributes:
        outcome: `ran`, `not-run` or `unknown`; `no-connection` when no
            connection could be opened, `no-answer` when the connection ended
            or the call timed out before an answer.
        status: HTTP status; 0 without an answer.
        is_complete: Whether the body is the complete answer to this call.
        reason: Reason that came with the outcome, or the text of the error.
    """

    outcome: str
    status: int
    is_complete: bool
    reason: str

    @property
    def is_success(self) -> bool:
        """Whether the call ran and its complete answer arrived."""
        return (
            self.outcome == 'ran'
            and self.status < HTTPStatus.MULTIPLE_CHOICES
            and self.is_complete
        )


def schedule(experiment: Experiment, prefix: str) -> Iterator[Arrival]:
    """Yields the calls of a run as Poisson arrivals, in order of time.

    Args:
        experiment: Flows with their rates, and the seed of the arrivals.
        prefix: Prefix of the call ids, unique to the run.
    """
    streams = (
        _arrivals(flow, experiment, f'{prefix}-{index}')
        for index, flow in enumerate(experiment.flows)
    )
    return merge(*streams)


class LoadGenerator:
    """Sends the calls of one run of an experiment.

    Args:
        experiment: Flows, actions and addresses.
        recorder: Records the answers for the report.
        is_direct: Whether calls go directly to the upstreams instead of to
            the nodes.
    """

    def __init__(
        self,
        experiment: Experiment,
        recorder: Recorder,
        is_direct: bool,
    ) -> None:
        self._experiment = experiment
        self._recorder = recorder
        self._is_direct = is_direct
        self._rng = random.Random(experiment.seed)
        self._http = pool_manager(
            num_pools=MAX_ADDRESSES,
            maxsize=CONNECTIONS_PER_ADDRESS,
            retries=False,
        )
        self._answers = JsonLinesWriter(experiment.answers_file)

    def run(self) -> None:
        """Sends all calls on schedule and waits until all have ended."""
        prefix = f'{wall_ms():x}{"d" if self._is_direct else "n"}'
        started_s = monotonic_s()
        pool = greenpool.GreenPool(MAX_CONCURRENT_CALLS)
        for action in self._experiment.actions:
            greenthread.spawn_after(action.at_s, self._apply_action, action)
        for arrival in schedule(self._experiment, prefix):
            sleep(max(0, started_s + arrival.at_s - monotonic_s()))
            pool.spawn_n(self._call, arrival, started_s)
        pool.waitall()

    def _call(self, arrival: Arrival, started_s: float) -> None:
        due_s = started_s + arrival.at_s
        start_lag_ms = (monotonic_s() - due_s) * MS_PER_S
        answer = self._send(arrival)
        for _ in range(arrival.flow.resends):
            if answer.outcome in {'ran', 'not-run'}:
                break
            sleep(RESEND_PAUSE_S)
            answer = self._send(arrival)
        elapsed_ms = (monotonic_s() - due_s) * MS_PER_S
        if arrival.at_s >= arrival.flow.measure_from_s:
            self._recorder.record(arrival, answer, elapsed_ms, start_lag_ms)

    def _send(self, arrival: Arrival) -> Answer:
        flow = arrival.flow
        addresses = flow.direct if self._is_direct else self._experiment.nodes
        candidates = self._rng.sample(
            addresses, min(flow.connects, len(addresses))
        )
        for address in candidates:
            answer = self._send_to(arrival, address)
            if answer.outcome != 'no-connection':
                break
        return answer

    def _send_to(self, arrival: Arrival, address: str) -> Answer:
        flow = arrival.flow
        url = (
            f'http://{address}{flow.path}'
            f'?work_ms={flow.work_ms}&size_bytes={flow.size_bytes}'
        )
        timeout_s = DEFAULT_TIMEOUT_S
        headers = {CALL_ID_HEADER: arrival.call_id}
        if flow.deadline_ms:
            headers['Waxwing-Deadline-Ms'] = str(flow.deadline_ms)
            timeout_s = flow.deadline_ms / MS_PER_S + TIMEOUT_MARGIN_S
        if flow.is_keyed:
            headers['Idempotency-Key'] = arrival.call_id
        attempt_started_s = monotonic_s()
        answer = self._request(arrival, url, headers, timeout_s)
        elapsed_ms = (monotonic_s() - attempt_started_s) * MS_PER_S
        self._write_answer(arrival, answer, address, elapsed_ms)
        return answer

    def _request(
        self,
        arrival: Arrival,
        url: str,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Answer:
        flow = arrival.flow
        try:
            response = self._http.request(
                flow.method,
                url,
                headers=headers,
                timeout=timeout_s,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return Answer(
                'no-connection', 0, is_complete=False, reason=str(error)
            )
        except urllib3.exceptions.HTTPError as error:
            return Answer('no-answer', 0, is_complete=False, reason=str(error))
        default_outcome = (
            'ran'
            if response.status < HTTPStatus.INTERNAL_SERVER_ERROR
            else 'unknown'
        )
        return Answer(
            outcome=response.headers.get('Waxwing-Outcome', default_outcome),
            status=response.status,
            is_complete=is_complete_answer(
                arrival.call_id,
                flow.size_bytes,
                response.data,
            ),
            reason=response.headers.get('Waxwing-Reason', ''),
        )

    def _write_answer(
        self,
        arrival: Arrival,
        answer: Answer,
        address: str,
        elapsed_ms: float,
    ) -> None:
        line = {
            'call_id': arrival.call_id,
            'flow': arrival.flow.name,
            'key': arrival.call_id if arrival.flow.is_keyed else '',
            'address': address,
            'outcome': answer.outcome,
            'status': answer.status,
            'is_whole': answer.is_complete,
            'reason': answer.reason,
            'wall_ms': wall_ms(),
            'at_s': arrival.at_s,
            'took_ms': elapsed_ms,
        }
        self._answers.write(line)

    def _apply_action(self, action: Action) -> None:
        body = {'factor': action.factor, 'duration_s': action.duration_s}
        with suppress(urllib3.exceptions.HTTPError):
            self._http.request(
                'POST',
                f'http://{action.upstream}/standin/{action.action}',
                body=json.dumps(body).encode(),
                timeout=ACTION_TIMEOUT_S,
            )


def _arrivals(
    flow: Flow,
    experiment: Experiment,
    prefix: str,
) -> Iterator[Arrival]:
    rng = random.Random(f'{experiment.seed}/{flow.name}')
    call_numbers = count()
    end_stage = Stage(at_s=experiment.duration_s, rate_per_s=0)
    for stage, next_stage in pairwise((*flow.stages, end_stage)):
        now_s = stage.at_s
        while stage.rate_per_s > 0:
            now_s += rng.expovariate(stage.rate_per_s)
            if now_s >= min(next_stage.at_s, experiment.duration_s):
                break
            yield Arrival(now_s, flow, f'{prefix}-{next(call_numbers)}')
