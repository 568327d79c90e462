"""Runs the steps of the claim protocol with green threads and messages."""

from collections.abc import Callable, Generator
from typing import Any, TypeVar

import msgspec
from eventlet import greenthread, queue

from waxwingsaddle.claimant import Peer, PeerQuery, Replies, Step
from waxwingsaddle.claims import (
    ClaimKept,
    ClaimReply,
    ClaimRequest,
    ClaimSync,
    ClaimSyncReply,
)
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.clock import monotonic_s

_Result = TypeVar('_Result')
_Reply = ClaimReply | ClaimSyncReply | ClaimKept
Handler = Callable[[Any], _Reply]


class ClaimRunner:
    """Sends claim messages to other nodes, and handles those to this host.

    Args:
        kernel: Provides `hop`.
        host: Name of this host.
        handler: Handles messages addressed to this host, without the network.
    """

    def __init__(self, kernel: Kernel, host: str, handler: Handler) -> None:
        self._kernel = kernel
        self._host = host
        self._handler = handler

    def run(self, steps: Generator[Step, Replies, _Result]) -> _Result:
        """Runs steps and returns their result; blocks the green thread."""
        replies: Any = None
        while True:
            try:
                step = steps.send(replies)
            except StopIteration as stop:
                return stop.value
            if isinstance(step, PeerQuery):
                replies = self._collect(step)
            else:
                replies = None
                greenthread.sleep(step.pause_s)

    def request(
        self,
        peer: Peer,
        message: msgspec.Struct,
        timeout_s: float,
    ) -> _Reply | None:
        """Sends a message and waits for the reply.

        Args:
            peer: Recipient.
            message: The message.
            timeout_s: Longest wait, in seconds.

        Returns:
            The reply, or None if there is none.
        """
        if peer.host == self._host:
            return self._handler(message)
        if not peer.address:
            return None
        reply_type = _reply_type(message)
        transport = self._kernel.find('hop')
        reply = transport.request(peer.address, message, timeout_s, reply_type)
        return reply if isinstance(reply, reply_type) else None

    def _collect(self, query: PeerQuery) -> Replies:
        replies_queue: queue.LightQueue = queue.LightQueue()
        for peer in query.peers:
            greenthread.spawn_n(self._send_query, peer, query, replies_queue)
        deadline_s = monotonic_s() + query.timeout_s
        replies: dict[str, _Reply] = {}
        for _ in query.peers:
            remaining_s = max(0, deadline_s - monotonic_s())
            try:
                host, reply = replies_queue.get(timeout=remaining_s)
            except queue.Empty:
                break
            if reply is not None:
                replies[host] = reply
            if query.is_enough(replies):
                deadline_s = min(deadline_s, monotonic_s() + query.grace_s)
        return replies

    def _send_query(
        self, peer: Peer, query: PeerQuery, replies_queue: queue.LightQueue
    ) -> None:
        reply = self.request(peer, query.message, query.timeout_s)
        replies_queue.put((peer.host, reply))


def _reply_type(message: msgspec.Struct) -> type:
    if isinstance(message, ClaimRequest):
        return ClaimReply
    return ClaimSyncReply if isinstance(message, ClaimSync) else ClaimKept
