"""Close of a connection after its last answer, or in the middle of one."""

import socket
import struct
import time
from typing import Any

from waxwingsaddle.socket_reader import SocketReader

# Time in which the peer has to close its end.
_LINGER_S = 1.0
# Closing a socket with the first of these SO_LINGER options resets the
# connection; the second one is the default.
_LINGER_ZERO = struct.pack('ii', 1, 0)
_LINGER_OFF = struct.pack('ii', 0, 0)


def reset_on_close(sock: Any, is_reset: bool = True) -> None:
    """Makes the close of a socket reset its connection, or not any more.

    It also applies to the close by the kernel when the process ends.
    """
    option = _LINGER_ZERO if is_reset else _LINGER_OFF
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


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
