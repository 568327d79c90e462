"""Merges the events of several processes into one time line."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

from waxwingsaddle.api_models import Failure
from waxwingsaddle.event_batches import LOST_KIND
from waxwingsaddle.events import Event, Events

MS_PER_S = 1000
_SECONDS_OF = {'s': 1, 'm': 60, 'h': 3600, 'd': 86_400}
_DURATION = re.compile(r'([0-9]{1,9})([smhd])')


@dataclass(frozen=True, slots=True)
class Selection:
    """Which events to show.

    Attributes:
        since_ms: Earliest time, in milliseconds since the epoch.
        kinds: Kinds of events; empty for all. Gaps are always shown.
        hosts: Hosts; empty for all.
    """

    since_ms: int = 0
    kinds: frozenset[str] = frozenset()
    hosts: frozenset[str] = frozenset()

    def matches(self, event: Event) -> bool:
        """Says whether an event is to be shown."""
        return (
            event.wall_ms >= self.since_ms
            and (not self.kinds or event.kind in self.kinds | {LOST_KIND})
            and (not self.hosts or event.host in self.hosts)
        )


@dataclass(frozen=True, slots=True)
class MergedEvents:
    """Events of several processes.

    Attributes:
        events: In order of the hybrid logical clock.
        failures: One line for each process that did not answer or whose
            buffer has lost events.
    """

    events: tuple[Event, ...]
    failures: tuple[str, ...]


def gather(
    ask: Callable[[str], Events | Failure],
    addresses: Iterable[str],
    selection: Selection,
) -> MergedEvents:
    """Asks processes for their events and merges them.

    Args:
        ask: Returns the events of the process at an address.
        addresses: Where the processes serve HTTP.
        selection: Which events to keep.
    """
    found: set[tuple[object, ...]] = set()
    events: list[Event] = []
    failures: list[str] = []
    for address in dict.fromkeys(addresses):
        answer = ask(address)
        if isinstance(answer, Failure):
            failures.append(answer.message)
            continue
        if answer.lost:
            failures.append(f'{address}: {answer.lost} older events are lost')
        for event in answer.events:
            if selection.matches(event) and sort_key(event) not in found:
                found.add(sort_key(event))
                events.append(event)
    return MergedEvents(tuple(sorted(events, key=sort_key)), tuple(failures))


def sort_key(event: Event) -> tuple[int, int, str, str, bool]:
    """Returns the place of an event in the hybrid logical order.

    A gap has the time of the first event after it and stands before it.
    """
    return (
        event.wall_ms,
        event.counter,
        event.host,
        event.program,
        event.kind != LOST_KIND,
    )


def process_name(event: Event) -> str:
    """Returns the name of the process that recorded an event."""
    return f'{event.program}@{event.host}'


def format_event(event: Event) -> str:
    """Returns one readable line for an event."""
    moment = datetime.fromtimestamp(event.wall_ms / MS_PER_S, UTC)
    details = ' '.join(
        f'{name}={text}' for name, text in sorted(event.details.items())
    )
    time_text = moment.replace(tzinfo=None).isoformat(' ', 'milliseconds')
    return f'{time_text} {process_name(event):24} {event.kind:22} {details}'


def parse_since(text: str, now_ms: int) -> int | None:
    """Returns the time that `--since` names.

    Args:
        text: A duration back from now such as `90s`, `10m`, `2h`, `1d`, or a
            time such as `2026-01-31T08:00` (UTC unless it names an offset).
        now_ms: The time now, in milliseconds since the epoch.

    Returns:
        Milliseconds since the epoch, or nothing for any other text.
    """
    duration = _DURATION.fullmatch(text)
    if duration:
        seconds = int(duration[1]) * _SECONDS_OF[duration[2]]
        return now_ms - seconds * MS_PER_S
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return int(moment.timestamp() * MS_PER_S)
