"""At-most-once claims: homes and keepers of idempotency keys, and messages."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

import msgspec

KEEPERS = 3
GRANTS_NEEDED = 2


def home_zone(key: str, zones: Sequence[str]) -> str:
    """Returns the home zone of a key.

    A key `<availability zone>.<rest>` names its zone; any other key hashes to
    one of the zones of the site.

    Args:
        key: Service name and idempotency key.
        zones: All availability zones from settings, the same on every node.
    """
    named, dot, _ = key.partition('.')
    if dot and named in zones:
        return named
    return max(zones, key=lambda zone: _weight(zone, key))


def keepers_of(key: str, hosts: Iterable[str]) -> tuple[str, ...]:
    """Returns the hosts highest in rendezvous hash, best first."""
    ranked = sorted(hosts, key=lambda host: _weight(host, key), reverse=True)
    return tuple(ranked[:KEEPERS])


def _weight(name: str, key: str) -> bytes:
    return blake2b(f'{name}\n{key}'.encode(), digest_size=8).digest()


class Stored(msgspec.Struct, frozen=True, tag='stored'):
    """The key was executed before.

    Attributes:
        answer: Status, headers and body as the guard packed them, or None
            when the answer was over the size limit ("ran, answer lost").
    """

    answer: bytes | None


class Granted(msgspec.Struct, frozen=True, tag='granted'):
    """The claim stands: send the call to a guard, at most once.

    Attributes:
        service: Name of the service.
        key: Idempotency key.
        claim_id: Identifier of the claim; the guard passes it to `done`.
        home: Home zone of the key.
    """

    service: str
    key: str
    claim_id: str
    home: str


class InDoubt(msgspec.Struct, frozen=True, tag='in-doubt'):
    """The key may have been executed: answer `unknown`.

    Attributes:
        reason: `in-progress`, `unreadable` or `contended`.
    """

    reason: str


class Absent(msgspec.Struct, frozen=True, tag='absent'):
    """No claim was made and the key never ran: answer `not-run`.

    Attributes:
        reason: Why no claim was made, such as `keepers-full`.
        retry_after_ms: When an attempt may succeed.
    """

    reason: str
    retry_after_ms: int
