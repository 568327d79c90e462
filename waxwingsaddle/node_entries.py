"""Directory entries of nodes, as a control host stores them."""

import msgspec

from waxwingsaddle.departures import (
    Departures,
    convert_departures,
    merge_departures,
)
from waxwingsaddle.directory import NodeRecord, convert_ages
from waxwingsaddle.directory_exchange import DirectoryExchange
from waxwingsaddle.leases import Lease
from waxwingsaddle.node_messages import Hello, Renew
from waxwingsaddle.util.clock import monotonic_ms


def store_entry(
    exchange: DirectoryExchange,
    holder: str,
    lease: Lease,
    call_address: str,
    message: Hello | Renew,
) -> Departures:
    """Stores the entry of a node and returns all its departures, with ages.

    Args:
        exchange: Announces entries to the other control hosts.
        holder: Name of this control host, which holds the lease.
        lease: Lease of the node.
        call_address: Address at which it accepts messages from other nodes.
        message: Message with its upstreams and departures.
    """
    now_ms = monotonic_ms()
    current = exchange.directory.find(lease.host)
    known = current.departures if current else ()
    record = convert_ages(
        NodeRecord(
            host=lease.host,
            availability_zone=lease.availability_zone,
            call_address=call_address,
            incarnation=lease.incarnation,
            sequence=lease.sequence,
            holder=holder,
            upstreams=message.upstreams or (),
            departures=message.departures,
        ),
        now_ms,
    )
    departures = merge_departures((*known, *record.departures), now_ms)
    exchange.update_record(
        msgspec.structs.replace(record, departures=departures)
    )
    if departures != known:
        # The node acknowledges a departure once it has the reply; the
        # other control hosts must know of it if this one ends then.
        exchange.flush()
    return convert_departures(departures, now_ms)
