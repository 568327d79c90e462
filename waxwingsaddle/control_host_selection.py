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

    def is_fresh(self, max_age_ms: int) -> bool:
        """Says whether a majority backed the version a moment ago."""
        return self.control is not None and self.majority_age_ms <= max_age_ms


def version_floor(
    replies: Iterable[VersionReply], max_age_ms: int
) -> int | None:
    """Returns the version a restarted node must hold before it serves.

    Args:
        replies: All answers within the time limit.
        max_age_ms: Age up to which a majority contact is fresh.

    Returns:
        The newest version of a fresh control host, or where none is fresh the
        highest of all; none when nobody answered.
    """
    all_replies = tuple(replies)
    fresh = tuple(reply for reply in all_replies if reply.is_fresh(max_age_ms))
    return max((reply.version for reply in fresh or all_replies), default=None)


def select_host(
    replies: Iterable[VersionReply],
    zone: str,
    max_age_ms: int,
    rng: random.Random,
) -> VersionReply | None:
    """Returns the answer of the control host to take a lease with.

    Fresh ones come first; among them the own zone, because a fresh host is at
    most a moment behind. Otherwise the newest comes first.

    Args:
        replies: The answers.
        zone: Availability zone of the node.
        max_age_ms: Age up to which a majority contact is fresh.
        rng: Spreads nodes over equal hosts.
    """
    controls = [reply for reply in replies if reply.control is not None]
    rng.shuffle(controls)
    return max(controls, key=partial(_rank, zone, max_age_ms), default=None)


def should_switch(
    candidate: VersionReply,
    current_version: int,
    max_age_ms: int,
) -> bool:
    """Says whether to leave a control host without majority contact.

    Args:
        candidate: Answer of another control host.
        current_version: Version in force on the node.
        max_age_ms: Age up to which a majority contact is fresh.
    """
    if candidate.version < current_version:
        return False
    return candidate.version > current_version or candidate.is_fresh(max_age_ms)


def can_return_home(
    home: VersionReply, current_version: int, max_age_ms: int
) -> bool:
    """Says whether a node may return to the control host of its zone."""
    return home.is_fresh(max_age_ms) and home.version >= current_version


def order_by_zone(
    controls: Iterable[NodeControl],
    zone: str,
    rng: random.Random,
) -> tuple[NodeControl, ...]:
    """Returns the control hosts of the own zone, then the others shuffled."""
    shuffled = list(controls)
    rng.shuffle(shuffled)
    return tuple(
        sorted(shuffled, key=lambda reply: _is_other_zone(reply, zone))
    )


def _rank(
    zone: str,
    max_age_ms: int,
    reply: VersionReply,
) -> tuple[bool, bool, int, bool]:
    is_fresh = reply.is_fresh(max_age_ms)
    is_home = not _is_other_zone(reply.control, zone)
    return is_fresh, is_fresh and is_home, reply.version, is_home


def _is_other_zone(control: NodeControl, zone: str) -> bool:
    return control.availability_zone != zone
