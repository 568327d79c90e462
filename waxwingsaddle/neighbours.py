"""Exchange of versions and full configurations between nodes."""

from collections.abc import Callable
from typing import Any

import eventlet

from waxwingsaddle.config import SiteSnapshot
from waxwingsaddle.control_host_selection import VersionReply
from waxwingsaddle.neighbour_messages import WholeQuery, WholeReply
from waxwingsaddle.node_messages import (
    FloorQuery,
    FloorReply,
)
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.codec import compress, encode_canonical


class Neighbours:
    """Queries the neighbours of a node and answers their queries.

    Args:
        transport: Service `hop`, which sends messages between nodes; none if
            the node does not have it.
        site: Site of the node.
        addresses: Call addresses of the neighbours.
        current: Returns the configuration in force.
    """

    def __init__(
        self,
        transport: Any,
        site: str,
        addresses: tuple[str, ...],
        current: Callable[[], SiteSnapshot | None],
    ) -> None:
        self._transport = transport
        self._site = site
        self._addresses = addresses if transport is not None else ()
        self._current = current
        if transport is not None:
            transport.subscribe(FloorQuery, self._on_floor_query)
            transport.subscribe(WholeQuery, self._on_whole_query)

    def query_versions(self, timeout_ms: int) -> tuple[VersionReply, ...]:
        """Queries the versions of all neighbours in parallel."""
        pool = eventlet.GreenPool()
        queries = [
            pool.spawn(self._query_version, address, timeout_ms)
            for address in self._addresses
        ]
        return tuple(filter(None, (query.wait() for query in queries)))

    def fetch_configuration(
        self, address: str, timeout_ms: int
    ) -> WholeReply | None:
        """Fetches the full configuration of a neighbour."""
        return self._request(
            address, WholeQuery(self._site), WholeReply, timeout_ms
        )

    def _query_version(
        self, address: str, timeout_ms: int
    ) -> VersionReply | None:
        query = FloorQuery(self._site)
        reply = self._request(address, query, FloorReply, timeout_ms)
        if reply is None or reply.version == 0:
            return None
        return VersionReply(None, reply.version, reply.majority_age_ms, address)

    def _request(
        self,
        address: str,
        query: Any,
        reply_type: type,
        timeout_ms: int,
    ) -> Any:
        reply = self._transport.request(
            address,
            query,
            timeout_ms / MS_PER_S,
            reply_type,
        )
        return reply if isinstance(reply, reply_type) else None

    def _on_floor_query(self, query: FloorQuery) -> FloorReply:
        # A node of another site needs a configuration that this node does not
        # have.
        current = self._current()
        if current is None or query.site != self._site:
            return FloorReply(0)
        return FloorReply(current.version)

    def _on_whole_query(self, query: WholeQuery) -> WholeReply:
        current = self._current()
        if current is None or query.site != self._site:
            return WholeReply(0, '', b'')
        tree = compress(encode_canonical(current.tree))
        return WholeReply(current.version, current.digest, tree)
