"""Snapshot of the replicated state of the control hosts."""

import msgspec

from waxwingsaddle.departure_records import DepartureImage
from waxwingsaddle.edit_history import HistoryEntry
from waxwingsaddle.rollout_orders import RolloutImage
from waxwingsaddle.util.codec import (
    Tree,
    compress,
    decompress,
    msgpack_decoder,
    pack,
)
from waxwingsaddle.versions import EditEntry

# Limits the size to which damaged compressed data can expand; edits are far
# smaller.
MAX_ENTRY_BYTES = 268_435_456


class EditImage(msgspec.Struct, frozen=True, array_like=True):
    """Content of a snapshot.

    Attributes:
        version: Oldest version that is stored.
        sites: Merged tree of that version by site name.
        texts: Source files of that version.
        history: Accepted versions, oldest first.
        entries: Log entries of the versions after the oldest one.
        rollouts: The rollouts of services.
        departures: The departures of upstreams.
    """

    version: int
    sites: dict[str, Tree]
    texts: dict[str, str]
    history: tuple[HistoryEntry, ...]
    entries: tuple[EditEntry, ...]
    rollouts: RolloutImage = RolloutImage()
    departures: DepartureImage = DepartureImage()


_decode_image = msgpack_decoder(EditImage)


def encode_image(image: EditImage) -> bytes:
    """Encodes the content of a snapshot."""
    return compress(pack(image))


def decode_image(body: bytes) -> EditImage:
    """Decodes the content of a snapshot."""
    return _decode_image(decompress(body, MAX_ENTRY_BYTES))
