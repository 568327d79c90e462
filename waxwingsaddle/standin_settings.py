"""Settings of the stand-in upstream."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import Address, HostName


class StandinSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of a stand-in upstream.

    Attributes:
        host: Unique name of the upstream.
        service: Service it announces.
        http_address: Where it serves calls.
        node_http_address: HTTP address of the node on its host.
        journal_file: File with one JSON line an execution; empty for none.
        slots: Calls it runs at a time.
        queue: Calls it holds beyond its slots before it sheds.
        cold_start_s: How long it is slow after its start, in seconds.
        cold_factor: How many times longer a call takes while it is cold.
        report_lag_s: Age of the load that `/standin/load` reports.
        announce_interval_s: Interval of announcements, in seconds.
        log_level: Least level of log lines.
        log_form: `json` or `text`.
    """

    host: HostName
    service: str
    http_address: Address
    node_http_address: Address
    journal_file: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    queue: Annotated[int, msgspec.Meta(ge=0)]
    cold_start_s: Annotated[float, msgspec.Meta(ge=0)]
    cold_factor: Annotated[float, msgspec.Meta(ge=1)]
    report_lag_s: Annotated[float, msgspec.Meta(ge=0)]
    announce_interval_s: Annotated[float, msgspec.Meta(gt=0)]
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
