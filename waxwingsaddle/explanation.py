"""What became of one request, from the log lines of any number of processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from types import MappingProxyType
from typing import Any, Final

# Changes of belief so long before a request may have decided it: that is the
# longest bound on the propagation of an accepted edit.
BELIEF_S = 5
_AFTER_S = 1
_REFUSED_STATUS = 500

_BELIEFS = frozenset(
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
            'every upstream that was asked had more calls than it could serve '
            'in time; it did not run'
        ),
        'displaced': 'more urgent calls took its place in a queue; not run',
        'deadline': 'its time was over before an upstream could serve it',
        'busy': 'the upstream had no free slot, and no other one was left',
        'unreachable': 'no connection to the nodes beside the upstreams',
        'connection-lost': (
            'the connection to the node beside its upstream ended while it '
            'ran; it may have run'
        ),
        'upstream-broke-off': (
            'its upstream ended the connection without an answer; it may have '
            'run'
        ),
        'upstream-refused': 'its upstream took no connection; it did not run',
        'upstream-shed': 'its upstream itself refused it; it did not run',
        'other-upstream': 'another upstream has the address now; not run',
        'draining': 'its upstream leaves and takes no calls; it did not run',
        'no-upstream': 'no upstream of its service was left to try',
        'no-route': 'no route of the version in force takes it',
        'no-configuration': 'the node had no configuration yet',
        'entry-full': 'the node of its caller had too many calls in flight',
        'cancelled': 'its caller left before it was answered',
    },
)

Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Step:
    """One line that matters.

    Attributes:
        at: Time of the line, as it has it.
        host: Host of the process; empty in a line without one.
        text: What happened, with what was known then.
    """

    at: str
    host: str
    text: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """What became of a request.

    Attributes:
        request_id: Its identifier.
        cause: The likely cause of its outcome, in one line.
        steps: Lines that matter, in order of time.
        unreadable_lines: Lines that are no JSON objects.
    """

    request_id: str
    cause: str
    steps: tuple[Step, ...]
    unreadable_lines: int


class LogLines:
    """Lines of log files; what a collector puts before the object is passed.

    Args:
        texts: Lines of any number of processes, in any order.

    Attributes:
        lines: Those that could be read.
        unreadable: Number of the others, empty ones left out.
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
    """Follows one request through the lines of the processes.

    Args:
        request_id: Identifier that the caller gave.
        texts: Lines of any number of processes, in any order.

    Returns:
        None if no line names the request.
    """
    read = LogLines(texts)
    calls = [
        line
        for line in read.lines
        if line.get('event') == 'call' and line.get('request_id') == request_id
    ]
    if not calls:
        return None
    call = calls[-1]
    wanted = [
        *calls,
        *_at_guards(request_id, call, read.lines),
        *_beliefs(call, read.lines),
    ]
    wanted.sort(key=lambda line: str(line.get('timestamp', '')))
    return Explanation(
        request_id,
        _cause(call),
        tuple(map(_step, wanted)),
        read.unreadable,
    )


def _at_guards(
    request_id: str,
    call: Line,
    lines: Iterable[Line],
) -> Iterator[Line]:
    attempts = {
        str(attempt).partition(' ')[0] for attempt in call.get('attempts') or ()
    }
    for line in lines:
        is_named = (
            line.get('request_id') == request_id
            or line.get('attempt') in attempts
        )
        if line.get('event') == 'guard' and is_named:
            yield line


def _beliefs(call: Line, lines: Iterable[Line]) -> Iterator[Line]:
    """Returns changes of belief of the hosts that the call passed."""
    ended = _time(call)
    if ended is None:
        return
    took = timedelta(milliseconds=call.get('took_ms') or 0)
    first = ended - took - timedelta(seconds=BELIEF_S)
    last = ended + timedelta(seconds=_AFTER_S)
    hosts = {call.get('host'), *map(_host, call.get('attempts') or ())}
    for line in lines:
        is_wanted = line.get('event') in _BELIEFS and line.get('host') in hosts
        at = _time(line) if is_wanted else None
        if at is not None and first <= at <= last:
            yield line


def _host(attempt: str) -> str:
    """Returns the host in `IDENTIFIER HOST/UPSTREAM OUTCOME ...`."""
    words = str(attempt).split(' ')
    return words[1].partition('/')[0] if len(words) > 1 else ''


def _time(line: Line) -> datetime | None:
    try:
        return datetime.fromisoformat(str(line.get('timestamp', '')))
    except ValueError:
        return None


def _cause(call: Line) -> str:
    reason = call.get('reason', '')
    status = call.get('status') or 0
    if call.get('outcome') == 'ran' and status >= _REFUSED_STATUS:
        return f'its upstream answered {status}: look at the calls it made'
    if call.get('outcome') == 'ran':
        return f'its upstream answered {status}'
    return _CAUSES.get(reason, f'ended as {call.get("outcome")}: {reason}')


# Said by each line on its own, or left to the time and the host of the step.
_PLAIN = frozenset(('event', 'timestamp', 'host', 'level', 'program'))


def _step(line: Line) -> Step:
    fields = ' '.join(
        f'{name}={told}'
        for name, told in line.items()
        if name not in _PLAIN and _is_told(told)
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


def _is_told(told: Any) -> bool:
    # Attempts, the only list, stand on lines of their own.
    return not isinstance(told, list) and told not in {'', None}
