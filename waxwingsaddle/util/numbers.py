"""Parses numbers received from users or other programs."""

# No version or size has more digits, and converting long numbers is slow.
MAX_DIGITS = 15


def parse_number(text: str) -> int | None:
    """Returns a number written in decimal digits, or None for other text."""
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None
