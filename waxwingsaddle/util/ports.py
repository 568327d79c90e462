"""Free loopback ports for programs that measurements and tests start."""

import random
import socket
from collections.abc import Iterator

LOOPBACK = '127.0.0.1'
FIRST_PORT = 10_000
# The system gives outgoing connections ports from 32,768 on.
END_PORT = 32_000
# Ports that a process takes at once; the first one marks them as taken.
BLOCK = 100


def free_address() -> str:
    """Returns a loopback address with a port that is free now.

    The port lies below those that the system gives to outgoing connections,
    because one of these could take it before the program under test binds.
    No two calls get the same port, in this process or in another that runs at
    the same time: a port stays free until its program binds it, and
    independent choices gave two programs the same one.

    Raises:
        OSError: No port is left.
    """
    for port in _ports:
        if _bound(port) is not None:
            return f'{LOOPBACK}:{port}'
    raise OSError(f'no free port from {FIRST_PORT} to {END_PORT - 1}')


def _all_ports() -> Iterator[int]:
    blocks = range(FIRST_PORT, END_PORT, BLOCK)
    # Bound for the life of this process, which keeps others away.
    marks = []
    for first in random.SystemRandom().sample(blocks, len(blocks)):
        mark = _bound(first)
        if mark is not None:
            marks.append(mark)
            yield from range(first + 1, first + BLOCK)


def _bound(port: int) -> socket.socket | None:
    probe = socket.socket()
    try:
        probe.bind((LOOPBACK, port))
    except OSError:
        probe.close()
        return None
    return probe


_ports = _all_ports()
