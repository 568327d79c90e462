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
    """Settings of the command line program.

    Attributes:
        controls: Administration API of the control hosts.
        processes: HTTP addresses of nodes and sources that `timeline` asks
            beside the control hosts.
        token_file: File with the bearer token; empty when tokens are off.
        author: Name for the history when tokens are off.
        base_file: The base file.
        overlay_folder: Folder of the overlays.
        answer_limit_ms: Longest wait for one control host, in milliseconds.
        poll_ms: Time between two looks at the fleet, in milliseconds.
        wait_limit_s: Longest wait of `apply --wait`, in seconds.
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
