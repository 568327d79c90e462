"""Parses and bounds numbers received from users or other programs."""

from typing import Annotated

import msgspec

# No version or size has more digits, and converting long numbers is slow.
MAX_DIGITS = 15
MAX_NUMBER = 10**MAX_DIGITS - 1

# msgpack holds 64 bits. A number near that limit could be received, but after a
# sum or a difference no longer be sent.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
SpanMs = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


def parse_number(text: str) -> int | None:
    """Returns a number written in decimal digits, or None for other text."""
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None
