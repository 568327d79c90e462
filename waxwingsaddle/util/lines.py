"""Messages that must fit one line."""


def one_line(text: str) -> str:
    """Returns a text with each run of blanks and line breaks as one blank.

    Keys in TOML may hold line breaks when they are quoted.
    """
    return ' '.join(text.split())
