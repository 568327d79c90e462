"""zmq socket of the hot path: one receiving green thread, sends never wait.

The green socket of eventlet serves any number of threads. It wakes the
receiver after every frame that is sent, so each call cost two receives that
found nothing, with an exception and two switches each.
"""

import greenlet
import zmq
from eventlet import hubs

Frames = list[bytes]

# Arithmetic with the enumeration members took 7 us in a profile of a node.
_NOBLOCK = int(zmq.NOBLOCK)
_NOBLOCK_MORE = int(zmq.NOBLOCK | zmq.SNDMORE)
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)


class MessageSocket:
    """A socket whose messages one green thread receives.

    Args:
        context: The context of the process.
        kind: zmq type of the socket.

    Attributes:
        raw: The socket, for its options and addresses.
    """

    def __init__(self, context: zmq.Context, kind: int) -> None:
        self.raw = zmq.Socket(context, kind)
        self._hub = hubs.get_hub()
        self._receiver: greenlet.greenlet | None = None
        self._wakeup = None
        self._listener = self._hub.add(
            self._hub.READ,
            self.raw.getsockopt(zmq.FD),
            self._on_readable,
            self._ignore,
            self._ignore,
        )

    def receive(self) -> Frames:
        """Returns the next message; blocks the receiving green thread."""
        while True:
            try:
                return self.raw.recv_multipart(_NOBLOCK)
            except zmq.Again:
                self._wait()

    def send(self, frames: Frames) -> None:
        """Hands over a message without waiting.

        Raises:
            zmq.ZMQError: It was not taken.
        """
        try:
            for frame in frames[:-1]:
                self.raw.send(frame, _NOBLOCK_MORE)
            self.raw.send(frames[-1], _NOBLOCK)
        finally:
            # A send may take in the edge-triggered event of a message that
            # came.
            if self._receiver is not None and self._has_message():
                self._wake()

    def close(self) -> None:
        """Closes the socket; its receiver must have ended."""
        self._hub.remove(self._listener)
        self.raw.close(0)

    def _has_message(self) -> bool:
        return bool(self.raw.getsockopt(_EVENTS) & _POLLIN)

    def _on_readable(self, _descriptor: int) -> None:
        if self._receiver is not None:
            self._wake()
        elif not self.raw.closed:
            # Takes the event in, or the hub would report it again at once.
            self.raw.getsockopt(_EVENTS)

    def _wait(self) -> None:
        self._receiver = greenlet.getcurrent()
        try:
            self._hub.switch()
        finally:
            self._receiver = None
            if self._wakeup is not None:
                self._wakeup.cancel()
                self._wakeup = None

    def _wake(self) -> None:
        if self._wakeup is None:
            self._wakeup = self._hub.schedule_call_global(
                0, self._receiver.switch
            )

    def _ignore(self, *_failure: object) -> None:
        """Passes over hub notices; the owner closes the socket."""
