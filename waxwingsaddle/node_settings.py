"""Settings of `waxwing-node`."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import Address, HostName, NodeControl
from waxwingsaddle.subscription_settings import SubscriptionSettings

Positive = Annotated[int, msgspec.Meta(ge=1)]


class NodeSettings(
    SubscriptionSettings,
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
