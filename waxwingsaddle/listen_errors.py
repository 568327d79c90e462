"""Errors of sockets that listen, as one type for all kinds of sockets."""

from collections.abc import Iterator
from contextlib import contextmanager

from zmq import ZMQError


class ListenError(OSError):
    """An address of the settings can't be listened on."""


@contextmanager
def wrap_listen_errors(address: str) -> Iterator[None]:
    """Names the address in the error when it can't be listened on.

    Raises:
        ListenError: The address is taken or not one of this host.
    """
    try:
        yield
    except (OSError, ZMQError) as error:
        raise ListenError(f'can not listen on {address}: {error}') from error
