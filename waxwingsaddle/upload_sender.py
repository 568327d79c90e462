"""Sends large request bodies to guarding nodes, in the pieces they ask for."""

from dataclasses import dataclass

from waxwingsaddle.calls import CallRequest
from waxwingsaddle.link import Link
from waxwingsaddle.node_transport import NodeTransport, ReceivedMessage
from waxwingsaddle.upload_messages import BodyGrant, BodyPiece, CallUpload
from waxwingsaddle.util.codec import msgpack_decoder

_decode_grant = msgpack_decoder(BodyGrant)


@dataclass(slots=True)
class _Upload:
    """A body and how much of it was sent."""

    link: Link
    body: bytes
    sent_bytes: int = 0


class UploadSender:
    """Request bodies of the calls that this node makes at other nodes.

    Args:
        transport: Sends and receives messages between nodes.
    """

    def __init__(self, transport: NodeTransport) -> None:
        self._transport = transport
        self._uploads: dict[str, _Upload] = {}
        transport.subscribe_answers(BodyGrant, self._on_grant)

    def start(self, link: Link, request: CallRequest, body: bytes) -> bool:
        """Announces a call; returns False if that was not sent."""
        self._uploads[request.call_id] = _Upload(link, body)
        return self._transport.send(link, CallUpload(request, len(body)))

    def end(self, call_id: str) -> bool:
        """Ends an upload.

        Returns:
            Whether the whole body was sent. Otherwise the guarding node has
            not run the call and never will.
        """
        upload = self._uploads.pop(call_id)
        return upload.sent_bytes == len(upload.body)

    def _on_grant(self, received: ReceivedMessage) -> None:
        grant = _decode_grant(received.body)
        upload = self._uploads.get(grant.call_id)
        if upload is None:
            return
        start = upload.sent_bytes
        piece = upload.body[start : start + max(0, grant.granted_bytes)]
        # Counted before it is sent: the guard may have a piece although the
        # connection is lost in between.
        upload.sent_bytes += len(piece)
        self._transport.send(
            upload.link, BodyPiece(grant.call_id, start), [piece]
        )
