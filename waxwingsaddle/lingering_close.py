"""Close of a connection after its last answer, or in the middle of one."""

import socket
import struct
import time
from typing import Any

from waxwingsaddle.socket_reader import SocketReader

# Time in which the peer has to close its end.
_LINGER_S = 1.0
# Closing a socket with this SO_LINGER option resets the connection.
_LINGER_ZERO = struct.pack('ii', 1, 0)


def reset_on_close(sock: Any) -> None:
    """Makes the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def linger(sock: Any) -> None:
    """Ends sending, then reads and drops bytes until the peer closes.

    Closing a socket with unread bytes resets the connection, and the peer may
    lose the answer. The socket is still to be closed.

    Args:
        sock: A green socket.
    """
    reader = SocketReader(sock)
    reader.deadline_s = time.monotonic() + _LINGER_S
    try:
        sock.shutdown(socket.SHUT_WR)
        while reader.peek():
            reader.discard()
    except OSError:
        # The peer closed first, or did not close within the time.
        return
