"""Numbers in text that people or other programs send."""

# Longer numbers are no versions or sizes, and cost time to convert.
MAX_DIGITS = 15


def parse_number(given: str) -> int | None:
    """Returns a number in decimal digits, or nothing for other text."""
    is_number = given.isascii() and given.isdigit()
    return int(given) if is_number and len(given) <= MAX_DIGITS else None
