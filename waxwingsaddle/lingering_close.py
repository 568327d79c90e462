"""Close of a connection after its last answer."""

import socket
import time
from typing import Any

from waxwingsaddle.socket_reader import SocketReader

# Time in which the peer has to close its end.
_LINGER_S = 1.0


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
