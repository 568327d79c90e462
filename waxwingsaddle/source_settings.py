"""Settings of `waxwing-source`, which submits changed files."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import Address, HostName

Positive = Annotated[int, msgspec.Meta(ge=1)]


class SourceSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the program that watches the files.

    Attributes:
        host: Unique name of the host.
        http_address: Where it serves metrics, probes and events.
        base_file: The base file.
        overlay_folder: Folder of the overlays.
        controls: Administration API of the control hosts.
        token_file: File with the bearer token; empty when tokens are off.
        author: Name for the history when tokens are off.
        poll_ms: Time between two looks at the files, in milliseconds.
        settle_ms: How long files must stay equal before they are read as an
            edit, in milliseconds.
        answer_limit_ms: Longest wait for one control host, in milliseconds.
        retry_first_ms: Bound of the first delay before a resend.
        retry_limit_ms: Largest bound of a delay before a resend.
        log_level: Least level of log lines.
        log_form: `json` or `text`.
        events_kept: Events kept for the time line.
    """

    host: HostName
    http_address: Address
    base_file: str
    overlay_folder: str
    controls: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    token_file: str = ''
    author: str
    poll_ms: Positive
    settle_ms: Positive
    answer_limit_ms: Positive
    retry_first_ms: Positive
    retry_limit_ms: Positive
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
    events_kept: Positive
