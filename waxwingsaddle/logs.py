"""Structured logs on standard error."""

import logging
import sys

from waxwingsaddle.util import imports

# structlog imports asyncio for methods that are not called here; 4 MB.
with imports.emptied('asyncio'):
    import structlog

LEVELS = ('debug', 'info', 'warning', 'error')


def configure(level: str, form: str, **context: str) -> None:
    """Sets up structlog for one program.

    Args:
        level: One of `LEVELS`.
        form: `json` for one JSON object a line, `text` for people.
        context: Fields bound to every line, such as the host.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if form == 'json'
        else structlog.processors.KeyValueRenderer(
            key_order=['timestamp', 'level', 'event'],
        )
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper()),
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)


def logger() -> structlog.typing.FilteringBoundLogger:
    """Returns the logger of the program."""
    return structlog.get_logger()
