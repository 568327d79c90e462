"""Entries of the replicated log that concern rollouts."""

from collections.abc import Mapping

import msgspec

from waxwingsaddle.rollout_models import RolloutOrder, RolloutStep
from waxwingsaddle.util.codec import Tree, msgpack_decoder, pack

# Entries of configurations are compressed and begin with another byte.
ENTRY_PREFIX = b'rollout:'


class Start(msgspec.Struct, frozen=True, kw_only=True, tag='start'):
    """Entry of the log that starts a rollout."""

    order: RolloutOrder
    base_version: str
    started_ms: int


class Step(msgspec.Struct, frozen=True, kw_only=True, tag='step'):
    """Entry of the log that changes a running rollout."""

    step: RolloutStep


class Serve(msgspec.Struct, frozen=True, kw_only=True, tag='serve'):
    """Entry of the log that records the serving versions of services."""

    versions: dict[str, str]


_decode = msgpack_decoder(Start | Step | Serve)


def decode_entry(command: bytes) -> Start | Step | Serve:
    """Decodes an entry, with its prefix."""
    return _decode(command.removeprefix(ENTRY_PREFIX))


def encode_start(
    order: RolloutOrder, base_version: str, started_ms: int
) -> bytes:
    """Returns the entry of the log that starts a rollout.

    Args:
        order: The order.
        base_version: Version that serves, unless the log has it.
        started_ms: When the leader received the order, in milliseconds since
            the epoch.
    """
    entry = Start(order=order, base_version=base_version, started_ms=started_ms)
    return ENTRY_PREFIX + pack(entry)


def encode_step(step: RolloutStep) -> bytes:
    """Returns the entry of the log that changes a running rollout."""
    return ENTRY_PREFIX + pack(Step(step=step))


def encode_serving(versions: Mapping[str, str]) -> bytes:
    """Returns the entry of the log with serving versions by service."""
    return ENTRY_PREFIX + pack(Serve(versions=dict(versions)))


def is_rollout_entry(command: bytes) -> bool:
    """Returns whether an entry of the log concerns a rollout."""
    return command.startswith(ENTRY_PREFIX)


def services_of(sites: Mapping[str, Tree]) -> frozenset[str]:
    """Returns the services of all sites of a configuration."""
    return frozenset().union(
        *(site.get('services', {}) for site in sites.values())
    )
