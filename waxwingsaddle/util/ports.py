"""Free loopback ports for programs that measurements and tests start."""

import random
import socket
from contextlib import suppress
from itertools import cycle, islice

FIRST_PORT = 10_000
END_PORT = 32_000
PORTS = range(FIRST_PORT, END_PORT)
_SHUFFLED_PORTS = cycle(random.SystemRandom().sample(PORTS, len(PORTS)))


def free_address() -> str:
    """Returns a loopback address with a port that is free now.

    The port lies below those that the system gives to outgoing connections,
    because one of these could take it before the program under test binds.
    No port is returned twice until all were, because a port stays free until
    its program binds it: independent random choices once gave two programs of
    one deployment the same port.

    Raises:
        OSError: No port is free.
    """
    for port in islice(_SHUFFLED_PORTS, len(PORTS)):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return f'127.0.0.1:{port}'
    raise OSError(f'no free port from {FIRST_PORT} to {END_PORT - 1}')
