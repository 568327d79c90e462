"""Structured log lines on standard output."""

import logging
import sys

from waxwingsaddle.log_writer import LogWriter
from waxwingsaddle.util import imports

# structlog imports asyncio only for methods that are not used here. Replacing
# it with an empty module saves 4 MB of memory.
with imports.stub_imports('asyncio'):
    import structlog

_writer = LogWriter(sys.stdout.buffer)
LEVELS = ('debug', 'info', 'warning', 'error')


def configure(level: str, form: str, **context: str) -> None:
    """Configures structlog for a program.

    Args:
        level: Lowest level that is logged, one of `LEVELS`.
        form: `json` for one JSON object per line, `text` for readable lines.
        context: Fields added to every line, such as the host.
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
            # Not structlog.contextvars: each green thread has context variables
            # of its own, so lines of other green threads would lack the fields.
            lambda _logger, _method, fields: {**context, **fields},
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper()),
        ),
        logger_factory=lambda *_names: _writer,
        cache_logger_on_first_use=True,
    )


def dropped() -> int:
    """Returns the number of lines dropped because nobody read them."""
    return _writer.dropped


def logger() -> structlog.typing.FilteringBoundLogger:
    """Returns the logger of the program."""
    return structlog.get_logger()
