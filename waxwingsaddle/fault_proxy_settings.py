"""Settings of the fault proxy, and conditions of its links."""

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
        jitter_ms: Maximum random addition to the delay, drawn for each read.
        loss_percent: Share of segments that need a retransmission.
        is_forward_cut: Whether bytes from client to server are held back.
        is_backward_cut: Whether bytes from server to client are held back.
        is_refusing: Whether new connections are closed at once.
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
    """A proxied address.

    Attributes:
        name: Name of the link in requests and reports.
        listen_address: Address that clients connect to.
        target_address: Address of the server.
        condition: Initial condition.
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
    """Settings of the fault proxy.

    Attributes:
        host: Name in logs.
        http_address: HTTP address that changes conditions and reports bytes.
        seed: Seed of the delays and losses.
        links: Proxied addresses.
        log_level: Lowest level of log lines that are written.
        log_form: `json` or `text`.
    """

    host: HostName
    http_address: Address
    seed: int
    links: tuple[LinkSettings, ...]
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
