"""Free loopback ports for programs started by measurements and tests."""

import random
import socket
from collections.abc import Iterator

LOOPBACK = '127.0.0.1'
FIRST_PORT = 10_000
# The operating system uses ports from 32,768 on for outgoing connections.
END_PORT = 32_000
# Number of ports that a process reserves at a time. The process keeps the
# first port of a block bound, which marks the block as reserved.
BLOCK = 100


def free_address() -> str:
    """Returns a loopback address whose port is free.

    The port is below the range that the operating system uses for outgoing
    connections, because one of these could take the port before the program
    under test binds it. No two calls return the same port, in this process or
    in others that run at the same time: a port stays free until its program
    binds it, and independent choices gave two programs the same port.

    Raises:
        OSError: No free port is left.
    """
    for port in _ports:
        if _try_bind(port) is not None:
            return f'{LOOPBACK}:{port}'
    raise OSError(f'no free port from {FIRST_PORT} to {END_PORT - 1}')


def _all_ports() -> Iterator[int]:
    blocks = range(FIRST_PORT, END_PORT, BLOCK)
    # Kept open for the life of this process, so that no other process reserves
    # the same block.
    marks = []
    for first in random.SystemRandom().sample(blocks, len(blocks)):
        mark = _try_bind(first)
        if mark is not None:
            marks.append(mark)
            yield from range(first + 1, first + BLOCK)


def _try_bind(port: int) -> socket.socket | None:
    probe = socket.socket()
    try:
        probe.bind((LOOPBACK, port))
    except OSError:
        probe.close()
        return None
    return probe


_ports = _all_ports()
