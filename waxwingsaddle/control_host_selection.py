"""Rules by which a node selects its control host and its version floor."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from waxwingsaddle.addresses import NodeControl


@dataclass(frozen=True, slots=True)
class VersionReply:
    """Reply of a control host or a neighbour to a version query.

    Attributes:
        control: The control host; None for a neighbour.
        version: Configuration version of the sender.
        majority_age_ms: Time since the control host was last in contact with a
            majority, in milliseconds; -1 for a neighbour.
        address: Call address of a neighbour; empty for a control host.
    """

    control: NodeControl | None
    version: int
    majority_age_ms: int
    address: str = ''

    def is_fresh(self, max_age_ms: int) -> bool:
        """Returns whether it is from a control host with a recent majority."""
        return self.control is not None and self.majority_age_ms <= max_age_ms


def version_floor(
    replies: Iterable[VersionReply], max_age_ms: int
) -> int | None:
    """Returns the lowest version with which a restarted node may serve.

    Args:
        replies: All replies that arrived within the time limit.
        max_age_ms: Age up to which a majority contact is fresh, in
            milliseconds.

    Returns:
        The newest version of the fresh control hosts; if none is fresh, the
        newest of all replies; None if there are no replies.
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
    """Returns the reply of the control host to request a lease from.

    Fresh control hosts come first, and among them those of the node's own
    zone, because a fresh host is at most a moment behind. If none is fresh,
    the newest version comes first.

    Args:
        replies: Replies to choose from.
        zone: Availability zone of the node.
        max_age_ms: Age up to which a majority contact is fresh, in
            milliseconds.
        rng: Spreads nodes over equally good hosts.

    Returns:
        The reply, or None if no control host replied.
    """
    controls = [reply for reply in replies if reply.control is not None]
    rng.shuffle(controls)
    return max(controls, key=partial(_rank, zone, max_age_ms), default=None)


def should_switch(
    candidate: VersionReply,
    held_version: int,
    max_age_ms: int,
) -> bool:
    """Returns whether to leave a control host that has lost its majority.

    Args:
        candidate: Reply of another control host.
        held_version: Version in force on the node.
        max_age_ms: Age up to which a majority contact is fresh, in
            milliseconds.
    """
    if candidate.version < held_version:
        return False
    return candidate.version > held_version or candidate.is_fresh(max_age_ms)


def can_return_home(
    home: VersionReply, held_version: int, max_age_ms: int
) -> bool:
    """Returns whether a node may return to the control host of its zone."""
    return home.is_fresh(max_age_ms) and home.version >= held_version


def order_by_zone(
    controls: Iterable[NodeControl],
    zone: str,
    rng: random.Random,
) -> tuple[NodeControl, ...]:
    """Returns the control hosts, shuffled, those of the own zone first."""
    shuffled = list(controls)
    rng.shuffle(shuffled)
    return tuple(
        sorted(shuffled, key=lambda control: _is_other_zone(control, zone))
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
