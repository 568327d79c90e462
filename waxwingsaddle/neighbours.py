"""Versions and whole configurations from other nodes."""

from collections.abc import Callable
from typing import Any

import eventlet

from waxwingsaddle.config import SiteSnapshot
from waxwingsaddle.control_host_selection import VersionReply
from waxwingsaddle.node_messages import (
    FloorQuery,
    FloorReply,
    WholeQuery,
    WholeReply,
)
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.codec import canonical, compress


class Neighbours:
    """Asks neighbours of a node, and answers them.

    Args:
        hop: Service that sends messages between nodes; none when absent.
        site: Site of the node.
        addresses: Call addresses of the neighbours.
        current: Returns the configuration in force.
    """

    def __init__(
        self,
        hop: Any,
        site: str,
        addresses: tuple[str, ...],
        current: Callable[[], SiteSnapshot | None],
    ) -> None:
        self._hop = hop
        self._site = site
        self._addresses = addresses if hop is not None else ()
        self._current = current
        if hop is not None:
            hop.subscribe(FloorQuery, self._on_floor_query)
            hop.subscribe(WholeQuery, self._on_whole_query)

    def ask_versions(self, wait_ms: int) -> tuple[VersionReply, ...]:
        """Asks all neighbours at once for their versions."""
        pool = eventlet.GreenPool()
        asked = [
            pool.spawn(self._ask_version, address, wait_ms)
            for address in self._addresses
        ]
        return tuple(filter(None, (thread.wait() for thread in asked)))

    def ask_whole(self, address: str, wait_ms: int) -> WholeReply | None:
        """Asks a neighbour for its configuration."""
        return self._ask(address, WholeQuery(self._site), WholeReply, wait_ms)

    def _ask_version(self, address: str, wait_ms: int) -> VersionReply | None:
        query = FloorQuery(self._site)
        reply = self._ask(address, query, FloorReply, wait_ms)
        if reply is None or reply.version == 0:
            return None
        return VersionReply(None, reply.version, reply.majority_age_ms, address)

    def _ask(
        self,
        address: str,
        query: Any,
        reply_type: type,
        wait_ms: int,
    ) -> Any:
        reply = self._hop.request(
            address,
            query,
            wait_ms / MS_PER_S,
            reply_type,
        )
        return reply if isinstance(reply, reply_type) else None

    def _on_floor_query(self, query: FloorQuery) -> FloorReply:
        # The versions of another site say nothing about a tree this node
        # could hand over.
        held = self._current()
        if held is None or query.site != self._site:
            return FloorReply(0)
        return FloorReply(held.version)

    def _on_whole_query(self, query: WholeQuery) -> WholeReply:
        held = self._current()
        if held is None or query.site != self._site:
            return WholeReply(0, '', b'')
        tree = compress(canonical(held.tree))
        return WholeReply(held.version, held.digest, tree)
