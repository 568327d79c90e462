"""Merges the events of several processes into one timeline."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

from waxwingsaddle.api_models import Failure
from waxwingsaddle.event_batches import LOST_KIND
from waxwingsaddle.events import Event, Events

MS_PER_S = 1000
_UNIT_SECONDS = {'s': 1, 'm': 60, 'h': 3600, 'd': 86_400}
_DURATION = re.compile(r'([0-9]{1,9})([smhd])')


@dataclass(frozen=True, slots=True)
class Selection:
    """Filter of events.

    Attributes:
        since_ms: Earliest time, in milliseconds since the epoch.
        kinds: Kinds of events; empty for all. Events of kind `events-lost`
            are always included.
        hosts: Hosts of events; empty for all.
    """

    since_ms: int = 0
    kinds: frozenset[str] = frozenset()
    hosts: frozenset[str] = frozenset()

    def matches(self, event: Event) -> bool:
        """Returns whether the filter includes an event."""
        return (
            event.wall_ms >= self.since_ms
            and (not self.kinds or event.kind in self.kinds | {LOST_KIND})
            and (not self.hosts or event.host in self.hosts)
        )


@dataclass(frozen=True, slots=True)
class MergedEvents:
    """Merged events of several processes.

    Attributes:
        events: Events in the order of `sort_key`.
        failures: One message for each process that did not answer or whose
            buffer has dropped events.
    """

    events: tuple[Event, ...]
    failures: tuple[str, ...]


def gather(
    fetch_events: Callable[[str], Events | Failure],
    addresses: Iterable[str],
    selection: Selection,
) -> MergedEvents:
    """Fetches the events of processes and merges them.

    Events that several processes return are included once.

    Args:
        fetch_events: Returns the events of the process at an address.
        addresses: HTTP addresses of the processes.
        selection: Filter of the events to include.
    """
    seen_keys: set[tuple[object, ...]] = set()
    events: list[Event] = []
    failures: list[str] = []
    for address in dict.fromkeys(addresses):
        answer = fetch_events(address)
        if isinstance(answer, Failure):
            failures.append(answer.message)
            continue
        if answer.lost:
            failures.append(f'{address}: {answer.lost} older events are lost')
        for event in answer.events:
            if selection.matches(event) and sort_key(event) not in seen_keys:
                seen_keys.add(sort_key(event))
                events.append(event)
    return MergedEvents(tuple(sorted(events, key=sort_key)), tuple(failures))


def sort_key(event: Event) -> tuple[int, int, str, str, bool]:
    """Returns a key that sorts events by hybrid logical timestamp.

    An `events-lost` event has the timestamp of the first event after the gap
    and sorts before it.
    """
    return (
        event.wall_ms,
        event.counter,
        event.host,
        event.program,
        event.kind != LOST_KIND,
    )


def process_name(event: Event) -> str:
    """Returns `PROGRAM@HOST` of the process that recorded an event."""
    return f'{event.program}@{event.host}'


def format_event(event: Event) -> str:
    """Formats an event as one line of text."""
    event_time = datetime.fromtimestamp(event.wall_ms / MS_PER_S, UTC)
    details = ' '.join(
        f'{name}={text}' for name, text in sorted(event.details.items())
    )
    time_text = event_time.replace(tzinfo=None).isoformat(' ', 'milliseconds')
    return f'{time_text} {process_name(event):24} {event.kind:22} {details}'


def parse_since(text: str, now_ms: int) -> int | None:
    """Parses the value of the option `--since`.

    Args:
        text: A duration before now such as `90s`, `10m`, `2h` or `1d`, or a
            time such as `2026-01-31T08:00` (UTC unless it has an offset).
        now_ms: The current time, in milliseconds since the epoch.

    Returns:
        Milliseconds since the epoch, or `None` if the text is neither.
    """
    duration = _DURATION.fullmatch(text)
    if duration:
        seconds = int(duration[1]) * _UNIT_SECONDS[duration[2]]
        return now_ms - seconds * MS_PER_S
    try:
        event_time = datetime.fromisoformat(text)
    except ValueError:
        return None
    if event_time.tzinfo is None:
        event_time = event_time.replace(tzinfo=UTC)
    return int(event_time.timestamp() * MS_PER_S)
