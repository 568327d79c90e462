"""Messages that must fit on one line."""


def one_line(text: str) -> str:
    """Returns a text with each run of whitespace replaced by one space.

    Quoted keys in TOML may contain line breaks, which then occur in messages.
    """
    return ' '.join(text.split())
