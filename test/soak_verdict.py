"""Checks what callers of a soak saw against journals and logs.

All times are of one machine. They are compared with the times that the nodes
have logged, so that the verdict does not depend on the speed of the machine.
"""

import re
from collections import defaultdict
from dataclasses import dataclass
from datetime import datetime
from math import inf

from test.soak_requests import HANG_S

REFUSALS = frozenset((503, 429, 408, 421))
# A node reads the clock for its stop shortly after it logs the stop.
LOG_LAG_S = 0.25
_ROUNDING_S = 0.05
# Upstream, guard and entry each wait for the processor.
_HOPS_BACK = 3
_MS_PER_S = 1000
_TIMESTAMP = re.compile("timestamp='([^']+)Z'")
_ENTRY_START = re.compile('\n(?=timestamp=)')
_TARGET = re.compile("event='call' .*target='/orders/([^']+)'")
_LATE_CUT = re.compile("event='call cut off' .*stopping_ms=([0-9.]+)")
_FAULTS = ('Traceback', "event='call failed'", 'writing an answer failed')


@dataclass(frozen=True)
class StopTimes:
    """Lengths of the phases of a stop, in seconds.

    Attributes:
        drain_s: Until callers know of the stop.
        upstream_drain_s: Until a guard refuses calls of other nodes.
        limit_s: From the end of `drain_s` to the end of the stop.
    """

    drain_s: float
    upstream_drain_s: float
    limit_s: float


@dataclass(frozen=True)
class Stop:
    """A planned stop as the log of its node tells it, in epoch seconds."""

    host: str
    begun_s: float
    ended_s: float


class Lags:
    """How much later than asked for threads were woken during a run."""

    def __init__(self, samples):
        """Takes pairs of a time, in epoch seconds, and a lag in seconds."""
        self._samples = samples

    def longest_s(self, begun_s, ended_s):
        """Returns the longest lag between two times, in seconds."""
        return max(
            (
                lag_s
                for at_s, lag_s in self._samples
                if begun_s <= at_s <= ended_s
            ),
            default=0,
        )


class Journal:
    """Journals of all upstreams, by identifier of the request."""

    def __init__(self, lines_by_upstream):
        """Takes the lines `KIND ID TIME` of each upstream."""
        self._entries = defaultdict(list)
        for upstream, lines in lines_by_upstream.items():
            for line in lines:
                kind, identifier, time_text = line.split(' ')
                self._entries[identifier].append(
                    (kind, upstream, float(time_text))
                )

    def of(self, identifier):
        """Returns kind, upstream and time of the entries of a request."""
        return self._entries.get(identifier, [])

    def count(self, kind, identifier):
        """Returns how often a request has an entry of a kind."""
        return [entry[0] for entry in self.of(identifier)].count(kind)


class Verdict:
    """Finds the requests whose callers were told less than the truth.

    Args:
        journal: What the upstreams ran.
        logs: Log text by host.
        times: Lengths of the phases of a stop.
        guards: Host of the guard by upstream.
        lags: Lags of the machine.
    """

    def __init__(self, journal, logs, times, guards, lags):
        self._journal = journal
        self._logs = logs
        self._times = times
        self._guards = guards
        self._lags = lags
        self._logged = set()
        for text in logs.values():
            self._logged.update(_TARGET.findall(text))
        self.stops = [
            stop for host, text in logs.items() for stop in stops_of(host, text)
        ]

    def problems(self, requests):
        """Returns the violations, as pairs of a rule and the request."""
        checked = ((self._problem(request), request) for request in requests)
        return [(rule, request) for rule, request in checked if rule]

    def log_problems(self):
        """Returns log entries that must not occur, with their tracebacks."""
        return [
            f'{host}: {entry}'
            for host, text in self._logs.items()
            for entry in _ENTRY_START.split(text)
            if self._is_fault(entry)
        ]

    def was_cut_at_the_end(self, request):
        """Returns whether a call outlasted a whole stop of one of its nodes.

        It must have arrived before its caller could know of the stop, and have
        been at work until the stop ended. Work that has ended by then counts
        until the processes on the way back can have passed on the answer.
        """
        entries = self._journal.of(request.identifier)
        guards = {self._guards[upstream] for _, upstream, _ in entries}
        cuts_s = [at_s for kind, _, at_s in entries if kind == 'cut']
        ends_s = [
            at_s + _HOPS_BACK * self._lags.longest_s(at_s, request.ended_s)
            for kind, _, at_s in entries
            if kind == 'end'
        ]
        worked_until_s = max((*cuts_s, *ends_s), default=inf)
        if request.answer_bytes:
            worked_until_s = inf
        until_s = min(request.ended_s, worked_until_s) + _ROUNDING_S
        return any(
            request.begun_s <= stop.begun_s + told_s + LOG_LAG_S
            and stop.begun_s + self._length_s <= until_s
            for stop in self.stops
            for told_s in self._told_s(stop, request.host, guards)
        )

    @property
    def _length_s(self):
        return self._times.drain_s + self._times.limit_s

    def _told_s(self, stop, entry, guards):
        if stop.host == entry:
            yield self._times.drain_s
        if stop.host in guards:
            yield self._times.upstream_drain_s

    def _problem(self, request):
        if request.ended_s - request.begun_s - request.pause_s > HANG_S:
            return 'no end'
        begins = self._journal.count('begin', request.identifier)
        if begins > 1 and not request.is_safe:
            return 'ran twice'
        if request.is_behind_close:
            return 'ran behind the last answer' if begins else ''
        if not request.status:
            return self._problem_without_answer(request, begins)
        return self._problem_of_answer(request, begins)

    def _problem_of_answer(self, request, begins):
        if request.status == 200:
            is_whole = begins and not request.reason
            return '' if is_whole else 'wrong answer'
        if request.status in REFUSALS or request.outcome == 'not-run':
            return 'refused and ran' if begins else ''
        elapsed_s = request.ended_s - request.begun_s
        if not begins or elapsed_s >= request.deadline_ms / _MS_PER_S:
            return ''
        return '' if self.was_cut_at_the_end(request) else 'answer lost'

    def _problem_without_answer(self, request, begins):
        if begins:
            is_allowed = self.was_cut_at_the_end(request)
            return '' if is_allowed else 'passed on without an answer'
        # A request can be refused, and logged, before its body has arrived.
        if request.identifier in self._logged and not request.pause_s:
            return 'read without an answer'
        return '' if self._may_be_unread(request) else 'not read'

    def _may_be_unread(self, request):
        """Returns whether the node may have closed before it read this."""
        own_stops = [
            stop
            for stop in self.stops
            if stop.host == request.host and request.connected_s <= stop.ended_s
        ]
        # Logs are in order, and a connection ends with its process.
        return bool(own_stops) and (
            own_stops[0].begun_s + self._times.drain_s
            <= min(request.whole_s, request.ended_s)
        )

    def _is_fault(self, entry):
        late_cut = _LATE_CUT.search(entry)
        if late_cut:
            return float(late_cut[1]) > self._times.drain_s * _MS_PER_S
        return any(fault in entry for fault in _FAULTS)


def stops_of(host, text):
    """Returns the stops that the log of a node tells."""
    begun_s = 0
    for line in text.splitlines():
        if "event='stopping'" in line:
            begun_s = _time_of(line)
        if "event='stopped'" in line:
            yield Stop(host, begun_s, _time_of(line))


def _time_of(line):
    stamp = _TIMESTAMP.search(line)[1]
    return datetime.fromisoformat(f'{stamp}+00:00').timestamp()
