"""Settings of `waxwing-control`."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.access import AccessToken, repeated_name
from waxwingsaddle.addresses import ControlHost, HostName
from waxwingsaddle.distribution_settings import DistributionSettings
from waxwingsaddle.peers import PeerLimits

Positive = Annotated[int, msgspec.Meta(ge=1)]


class ControlSettings(
    DistributionSettings,
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
        tokens: Bearer tokens of the administration API; none for free access.
        api_body_limit_bytes: Largest body of a request to the administration
            API.
        api_restore_limit_bytes: Largest backup to restore.
        api_catch_up_ms: Longest wait of an edit for the version before it.
        peer_queue_messages: Messages queued for or from one control host.
        peer_message_bytes: Largest message taken from a control host.
        peer_reconnect_ms: First delay before connecting again.
        peer_reconnect_limit_ms: Largest such delay.
        peer_keepalive_ms: Interval of probes on idle connections.
        peer_keepalive_timeout_ms: Silence that closes a connection.
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
    tokens: tuple[AccessToken, ...] = ()
    api_body_limit_bytes: Positive
    api_restore_limit_bytes: Positive
    api_catch_up_ms: Positive
    peer_queue_messages: Positive
    peer_message_bytes: Positive
    peer_reconnect_ms: Positive
    peer_reconnect_limit_ms: Positive
    peer_keepalive_ms: Positive
    peer_keepalive_timeout_ms: Positive

    def __post_init__(self) -> None:
        """Checks what concerns several tokens.

        Raises:
            ValueError: Two tokens have one name.
        """
        repeated = repeated_name(self.tokens)
        if repeated:
            raise ValueError(f'two `tokens` have the name {repeated!r}')

    @property
    def peer_limits(self) -> PeerLimits:
        """Limits of the sockets between control hosts."""
        return PeerLimits(
            queue_messages=self.peer_queue_messages,
            message_bytes=self.peer_message_bytes,
            reconnect_ms=self.peer_reconnect_ms,
            reconnect_limit_ms=self.peer_reconnect_limit_ms,
            keepalive_ms=self.peer_keepalive_ms,
            keepalive_timeout_ms=self.peer_keepalive_timeout_ms,
        )

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
