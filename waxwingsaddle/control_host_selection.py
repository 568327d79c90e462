"""Pure rules: which control host a node uses, and its version floor."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from waxwingsaddle.addresses import NodeControl


@dataclass(frozen=True, slots=True)
class VersionReply:
    """What a control host or a neighbour said about itself.

    Attributes:
        control: The control host; absent for a neighbour.
        version: Its version.
        majority_age_ms: Time since its last contact with a majority; -1 from
            a neighbour.
        address: Call address of a neighbour.
    """

    control: NodeControl | None
    version: int
    majority_age_ms: int
    address: str = ''

    def is_fresh(self, limit_ms: int) -> bool:
        """Says whether a majority backed the version a moment ago."""
        return self.control is not None and self.majority_age_ms <= limit_ms


def version_floor(answers: Iterable[VersionReply], limit_ms: int) -> int | None:
    """Returns the version a restarted node must hold before it serves.

    Args:
        answers: All answers within the time limit.
        limit_ms: Age up to which a majority contact is fresh.

    Returns:
        The newest version of a fresh control host, or where none is fresh the
        highest of all; none when nobody answered.
    """
    everyone = tuple(answers)
    fresh = tuple(part for part in everyone if part.is_fresh(limit_ms))
    return max((part.version for part in fresh or everyone), default=None)


def select_host(
    answers: Iterable[VersionReply],
    zone: str,
    limit_ms: int,
    rng: random.Random,
) -> VersionReply | None:
    """Returns the answer of the control host to take a lease with.

    Fresh ones come first; among them the own zone, because a fresh host is at
    most a moment behind. Otherwise the newest comes first.

    Args:
        answers: The answers.
        zone: Availability zone of the node.
        limit_ms: Age up to which a majority contact is fresh.
        rng: Spreads nodes over equal hosts.
    """
    controls = [part for part in answers if part.control is not None]
    rng.shuffle(controls)
    return max(controls, key=partial(_rank, zone, limit_ms), default=None)


def should_switch(
    candidate: VersionReply,
    held_version: int,
    limit_ms: int,
) -> bool:
    """Says whether to leave a control host without majority contact.

    Args:
        candidate: Answer of another control host.
        held_version: Version in force on the node.
        limit_ms: Age up to which a majority contact is fresh.
    """
    if candidate.version < held_version:
        return False
    return candidate.version > held_version or candidate.is_fresh(limit_ms)


def can_return_home(
    home: VersionReply, held_version: int, limit_ms: int
) -> bool:
    """Says whether a node may return to the control host of its zone."""
    return home.is_fresh(limit_ms) and home.version >= held_version


def order_by_zone(
    controls: Iterable[NodeControl],
    zone: str,
    rng: random.Random,
) -> tuple[NodeControl, ...]:
    """Returns the control hosts of the own zone, then the others shuffled."""
    shuffled = list(controls)
    rng.shuffle(shuffled)
    return tuple(sorted(shuffled, key=lambda part: _is_away(part, zone)))


def _rank(
    zone: str,
    limit_ms: int,
    answer: VersionReply,
) -> tuple[bool, bool, int, bool]:
    is_fresh = answer.is_fresh(limit_ms)
    is_home = not _is_away(answer.control, zone)
    return is_fresh, is_fresh and is_home, answer.version, is_home


def _is_away(control: NodeControl, zone: str) -> bool:
    return control.availability_zone != zone
