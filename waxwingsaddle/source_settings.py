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
    """Settings of the program that watches the configuration files.

    Attributes:
        host: Unique name of the host.
        http_address: HTTP address of its metrics, probes and events.
        base_file: The base file.
        overlay_folder: Folder with one overlay per site.
        controls: Addresses of the administration API of the control hosts.
        token_file: File with the bearer token; empty if tokens are disabled.
        author: Author named in the history if tokens are disabled.
        poll_ms: Polling interval for the files, in milliseconds.
        settle_ms: How long the files must stay unchanged before they are
            submitted as an edit, in milliseconds.
        answer_limit_ms: Maximum wait for the answer of one control host, in
            milliseconds.
        retry_first_ms: Upper bound of the random delay before the first resend,
            in milliseconds.
        retry_limit_ms: Largest upper bound of such a delay, in milliseconds;
            the bound doubles with each resend.
        log_level: Lowest level of log lines that are written.
        log_form: Format of log lines, `json` or `text`.
        events_kept: Number of events kept for the timeline.
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
