"""Settings of `waxwingctl`."""

from typing import Annotated

import msgspec

from waxwingsaddle.addresses import Address

Positive = Annotated[int, msgspec.Meta(ge=1)]


class CtlSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the command line program `waxwingctl`.

    Attributes:
        controls: Addresses of the administration API of the control hosts.
        processes: HTTP addresses of nodes and sources that `timeline` queries
            in addition to the control hosts.
        token_file: File with the bearer token; empty if tokens are disabled.
        author: Author named in the history if tokens are disabled.
        base_file: Path of the base file.
        overlay_folder: Folder of the overlays.
        answer_limit_ms: Timeout for the answer of one control host, in
            milliseconds.
        poll_ms: Polling interval for the state of the fleet, in milliseconds.
        wait_limit_s: Timeout of `apply --wait`, in seconds.
    """

    controls: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    processes: tuple[Address, ...] = ()
    token_file: str = ''
    author: str = ''
    base_file: str
    overlay_folder: str
    answer_limit_ms: Positive
    poll_ms: Positive
    wait_limit_s: Positive
