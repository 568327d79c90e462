"""One error type for all sockets that fail to listen."""

from collections.abc import Iterator
from contextlib import contextmanager

from zmq import ZMQError


class ListenError(OSError):
    """Listening on an address of the settings failed."""


@contextmanager
def wrap_listen_errors(address: str) -> Iterator[None]:
    """Converts socket errors into a `ListenError` that names the address.

    Raises:
        ListenError: The address is in use or does not belong to this host.
    """
    try:
        yield
    except (OSError, ZMQError) as error:
        raise ListenError(f'can not listen on {address}: {error}') from error
