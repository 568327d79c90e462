"""Explains the outcome of a request from the log lines of processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from types import MappingProxyType
from typing import Any, Final

# State changes up to this long before a request may have caused its outcome:
# the longest bound on the propagation of an accepted edit.
STATE_CHANGES_BEFORE_S = 5
_STATE_CHANGES_AFTER_S = 1
_MIN_FAILED_STATUS = 500

# Log events that change what a host knows about itself or its upstreams.
_STATE_CHANGES = frozenset(
    (
        'started',
        'stopping',
        'stopped',
        'reloading',
        'ready',
        'not ready',
        'lease taken',
        'upstream',
        'upstream ejected',
        'upstream returned',
    ),
)
_CAUSES: Final = MappingProxyType(
    {
        'overload': (
            'every upstream that was tried had more calls than it could serve '
            'in time; the call did not run'
        ),
        'displaced': (
            'calls of higher priority displaced it from a queue; it did not run'
        ),
        'deadline': 'its deadline passed before an upstream could serve it',
        'busy': 'the upstream had no free slot and no other upstream was left',
        'unreachable': 'no connection to the nodes of the upstreams',
        'connection-lost': (
            'the connection to the node of its upstream was lost during the '
            'call; it may have run'
        ),
        'upstream-broke-off': (
            'its upstream closed the connection without an answer; it may '
            'have run'
        ),
        'upstream-refused': (
            'its upstream refused the connection; it did not run'
        ),
        'upstream-shed': 'its upstream shed it; it did not run',
        'other-upstream': (
            'another upstream now has the address; it did not run'
        ),
        'draining': (
            'its upstream is draining and accepts no calls; it did not run'
        ),
        'no-upstream': 'no upstream of its service was left to try',
        'no-route': 'no route of the version in force matches it',
        'no-configuration': 'the node had no configuration yet',
        'entry-full': 'the entry node had too many calls in flight',
        'silent': (
            'its upstream was full and left it without an answer; it may have '
            'run'
        ),
        'cancelled': 'its caller disconnected before it was answered',
    },
)

Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Step:
    """One log line that concerns a request.

    Attributes:
        at: Timestamp of the line, as written.
        host: Host of the process; empty if the line has none.
        text: Log event with its fields, and the attempts of a call.
    """

    at: str
    host: str
    text: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """Explanation of the outcome of a request.

    `waxwingctl explain --json` prints the fields under their names.

    Attributes:
        request_id: Identifier of the request.
        cause: The likely cause of its outcome, in one line.
        steps: Log lines that concern it, ordered by time.
        unreadable_lines: Number of lines that are not JSON objects.
    """

    request_id: str
    cause: str
    steps: tuple[Step, ...]
    unreadable_lines: int


class LogLines:
    """Parsed lines of log files.

    A prefix that a log collector adds to the JSON object of a line is skipped.

    Args:
        texts: Lines of any number of processes, in any order.

    Attributes:
        lines: Lines that are JSON objects.
        unreadable: Number of other lines that are not blank.
    """

    def __init__(self, texts: Iterable[str]) -> None:
        self.lines: list[Line] = []
        self.unreadable = 0
        for text in texts:
            self._add(text)

    def _add(self, text: str) -> None:
        start = text.find('{')
        try:
            line = json.loads(text[start:]) if start >= 0 else None
        except ValueError:
            line = None
        if isinstance(line, dict):
            self.lines.append(line)
        elif text.strip():
            self.unreadable += 1


def explain(request_id: str, texts: Iterable[str]) -> Explanation | None:
    """Explains the outcome of one request.

    Args:
        request_id: Identifier that the caller set.
        texts: Log lines of any number of processes, in any order.

    Returns:
        The explanation, or `None` if no `call` line has the identifier.
    """
    log_lines = LogLines(texts)
    calls = [
        line
        for line in log_lines.lines
        if line.get('event') == 'call' and line.get('request_id') == request_id
    ]
    if not calls:
        return None
    call = calls[-1]
    relevant = [
        *calls,
        *_guard_lines(request_id, call, log_lines.lines),
        *_state_changes(call, log_lines.lines),
    ]
    relevant.sort(key=lambda line: str(line.get('timestamp', '')))
    return Explanation(
        request_id,
        _describe_cause(call),
        tuple(map(_step_of, relevant)),
        log_lines.unreadable,
    )


def _guard_lines(
    request_id: str,
    call: Line,
    lines: Iterable[Line],
) -> Iterator[Line]:
    attempts = {
        str(attempt).partition(' ')[0] for attempt in call.get('attempts') or ()
    }
    for line in lines:
        is_of_request = (
            line.get('request_id') == request_id
            or line.get('attempt') in attempts
        )
        if line.get('event') == 'guard' and is_of_request:
            yield line


def _state_changes(call: Line, lines: Iterable[Line]) -> Iterator[Line]:
    """Yields state changes around a call on the hosts that it passed."""
    ended_at = _time(call)
    if ended_at is None:
        return
    elapsed = timedelta(milliseconds=call.get('took_ms') or 0)
    earliest = ended_at - elapsed - timedelta(seconds=STATE_CHANGES_BEFORE_S)
    latest = ended_at + timedelta(seconds=_STATE_CHANGES_AFTER_S)
    hosts = {call.get('host'), *map(_host, call.get('attempts') or ())}
    for line in lines:
        is_wanted = (
            line.get('event') in _STATE_CHANGES and line.get('host') in hosts
        )
        logged_at = _time(line) if is_wanted else None
        if logged_at is not None and earliest <= logged_at <= latest:
            yield line


def _host(attempt: str) -> str:
    """Returns the host of an attempt `ID HOST/UPSTREAM OUTCOME ...`."""
    words = str(attempt).split(' ')
    return words[1].partition('/')[0] if len(words) > 1 else ''


def _time(line: Line) -> datetime | None:
    try:
        return datetime.fromisoformat(str(line.get('timestamp', '')))
    except ValueError:
        return None


def _describe_cause(call: Line) -> str:
    reason = call.get('reason', '')
    status = call.get('status') or 0
    if call.get('outcome') == 'ran' and status >= _MIN_FAILED_STATUS:
        return f'its upstream answered {status}: look at the calls it made'
    if call.get('outcome') == 'ran':
        return f'its upstream answered {status}'
    return _CAUSES.get(reason, f'ended as {call.get("outcome")}: {reason}')


# Fields left out of the text of a step: the step has its own time and host, the
# text starts with the event, and the others do not concern the request.
_OMITTED_FIELDS = frozenset(('event', 'timestamp', 'host', 'level', 'program'))


def _step_of(line: Line) -> Step:
    fields = ' '.join(
        f'{name}={field_value}'
        for name, field_value in line.items()
        if name not in _OMITTED_FIELDS and _is_shown(field_value)
    )
    attempts = ''.join(
        f'\n    {attempt}' for attempt in line.get('attempts') or ()
    )
    event = line.get('event', '')
    return Step(
        str(line.get('timestamp', '')),
        str(line.get('host', '')),
        f'{event} {fields}{attempts}'.strip(),
    )


def _is_shown(field_value: Any) -> bool:
    # The only list, the attempts, is written on lines of its own.
    return not isinstance(field_value, list) and field_value not in {'', None}
