"""Settings of `waxwing-node`."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import Address, HostName, NodeControl

Positive = Annotated[int, msgspec.Meta(ge=1)]


class NodeSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of one node.

    Attributes:
        host: Unique name of the host.
        availability_zone: Its availability zone.
        site: Site whose configuration it carries.
        http_address: Where it takes calls and upstream announcements.
        call_address: Where it takes messages from other nodes.
        controls: Control hosts it may connect to.
        neighbours: Call addresses of nodes asked for the configuration when
            no control host answers.
        log_level: Least level of log lines.
        log_form: `json` or `text`.
        events_kept: Events kept for the time line.
        availability_zones: All zones, the same list on every node; keys
            without a zone prefix hash over them. Empty: those of `controls`.
        claim_window_ms: Grants of a key are void this long after they were
            asked for.
        claim_grace_ms: Wait for the last keeper once two have granted.
        claim_pause_ms: Mean pause before a key is asked for again.
        claims_max_bytes: Size of the claims kept for others from which new
            keys are refused.
    """

    host: HostName
    availability_zone: HostName
    site: str
    http_address: Address
    call_address: Address
    controls: tuple[NodeControl, ...]
    neighbours: tuple[Address, ...] = ()
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
    events_kept: Positive
    availability_zones: tuple[HostName, ...] = ()
    claim_window_ms: Positive
    claim_grace_ms: Positive
    claim_pause_ms: Positive
    claims_max_bytes: Positive
