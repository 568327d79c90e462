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
        service: Service that it announces.
        http_address: HTTP address that it serves calls on.
        node_http_address: HTTP address of the node on its host.
        journal_file: File that gets a JSON line for the start and the end of
            each execution; empty for none.
        slots: Calls that it runs at the same time.
        queue: Calls that wait for a slot before further calls are shed.
        cold_start_s: Duration of the cold start, in seconds.
        cold_factor: Factor of the execution times during the cold start.
        report_lag_s: Age of the load that `/standin/load` reports, in
            seconds.
        announce_interval_s: Interval of announcements, in seconds.
        log_level: Lowest level of log lines that are written.
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
