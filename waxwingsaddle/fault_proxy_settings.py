"""Settings of the fault proxy and conditions of its links."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import Address, HostName

NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class Condition(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Condition of a link.

    Attributes:
        delay_ms: One-way delay.
        jitter_ms: Largest addition to the delay, drawn for each read.
        loss_percent: Segments that need a retransmission.
        is_forward_cut: Whether bytes from client to server are held.
        is_backward_cut: Whether bytes from server to client are held.
        is_refusing: Whether connections are closed at once.
    """

    delay_ms: NotNegative = 0
    jitter_ms: NotNegative = 0
    loss_percent: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0
    is_forward_cut: bool = False
    is_backward_cut: bool = False
    is_refusing: bool = False


class LinkSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One proxied address.

    Attributes:
        name: Name of the link in requests and reports.
        listen_address: Where clients connect.
        target_address: Where the server listens.
        condition: Condition at the start.
    """

    name: HostName
    listen_address: Address
    target_address: Address
    condition: Condition = Condition()


class FaultsSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the proxy.

    Attributes:
        host: Name for logs.
        http_address: Where conditions are changed and bytes counted.
        seed: Seed of delays and losses.
        links: The proxied addresses.
        log_level: Least level of log lines.
        log_form: `json` or `text`.
    """

    host: HostName
    http_address: Address
    seed: int
    links: tuple[LinkSettings, ...]
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
