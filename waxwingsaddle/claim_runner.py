"""Runs the steps of claimants over green threads and messages."""

from collections.abc import Callable, Generator
from typing import Any, TypeVar

import msgspec
from eventlet import greenthread, queue

from waxwingsaddle.claimant import Ask, Peer, Replies, Step
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
    """Sends the messages of claims, to this host without the network.

    Args:
        kernel: Has `hop`.
        host: This host.
        handler: Serves the messages to this host.
    """

    def __init__(self, kernel: Kernel, host: str, handler: Handler) -> None:
        self._kernel = kernel
        self._host = host
        self._handler = handler

    def run(self, steps: Generator[Step, Replies, _Result]) -> _Result:
        """Runs steps to their result; blocks the green thread."""
        replies: Any = None
        while True:
            try:
                step = steps.send(replies)
            except StopIteration as stop:
                return stop.value
            if isinstance(step, Ask):
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
        """Sends one message, and returns the reply or None."""
        if peer.host == self._host:
            return self._handler(message)
        if not peer.address:
            return None
        reply_type = _reply_type(message)
        hop = self._kernel.find('hop')
        reply = hop.request(peer.address, message, timeout_s, reply_type)
        return reply if isinstance(reply, reply_type) else None

    def _collect(self, ask: Ask) -> Replies:
        inbox: queue.LightQueue = queue.LightQueue()
        for peer in ask.peers:
            greenthread.spawn_n(self._ask, peer, ask, inbox)
        limit_s = monotonic_s() + ask.timeout_s
        replies: dict[str, _Reply] = {}
        for _ in ask.peers:
            left_s = max(0, limit_s - monotonic_s())
            try:
                host, reply = inbox.get(timeout=left_s)
            except queue.Empty:
                break
            if reply is not None:
                replies[host] = reply
            if ask.is_enough(replies):
                limit_s = min(limit_s, monotonic_s() + ask.grace_s)
        return replies

    def _ask(self, peer: Peer, ask: Ask, inbox: queue.LightQueue) -> None:
        reply = self.request(peer, ask.message, ask.timeout_s)
        inbox.put((peer.host, reply))


def _reply_type(message: msgspec.Struct) -> type:
    if isinstance(message, ClaimRequest):
        return ClaimReply
    return ClaimSyncReply if isinstance(message, ClaimSync) else ClaimKept
