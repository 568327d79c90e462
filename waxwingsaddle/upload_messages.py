"""Messages between nodes for calls with large request bodies.

The node of the caller announces the call, and the guarding node asks for the
body piece by piece. A call runs only once its body is complete.
"""

from typing import Annotated

import msgspec

from waxwingsaddle.calls import CallRequest
from waxwingsaddle.config_models import MAX_BODY_BYTES

# Memory is reserved for as many bytes as the message says.
BodySize = Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)]


class CallUpload(msgspec.Struct, frozen=True, array_like=True):
    """Asks the guarding node to run a call after it has taken the body.

    Attributes:
        request: The call, without its body.
        body_bytes: Size of the body.
    """

    request: CallRequest
    body_bytes: BodySize


class BodyGrant(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Asks the node of the caller for the next bytes of a request body.

    Attributes:
        call_id: Identifier of the attempt.
        granted_bytes: Number of bytes that it may send in addition.
    """

    call_id: str
    granted_bytes: int


class BodyPiece(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Piece of a request body; its bytes are in the next frame.

    Attributes:
        call_id: Identifier of the attempt.
        offset: Position of its first byte in the body.
    """

    call_id: str
    offset: int
