"""Settings of `waxwing-control`."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import ControlHost, HostName

Positive = Annotated[int, msgspec.Meta(ge=1)]


class ControlSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of one control host.

    Attributes:
        host: Unique name of the host; one of `hosts`.
        data_folder: Folder of its durable state.
        hosts: All control hosts, this one included.
        log_level: Least level of log lines.
        log_form: `json` or `text`.
        events_kept: Events kept for the time line.
    """

    host: HostName
    data_folder: str
    hosts: Annotated[
        tuple[ControlHost, ...],
        msgspec.Meta(min_length=1, max_length=7),
    ]
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
    events_kept: Positive

    @property
    def this_host(self) -> ControlHost:
        """The entry of this host.

        Raises:
            LookupError: `hosts` has no entry for `host`.
        """
        for control_host in self.hosts:
            if control_host.host == self.host:
                return control_host
        raise LookupError(f'control.hosts has no entry for {self.host!r}')
