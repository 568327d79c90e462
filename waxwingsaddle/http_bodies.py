"""Strict reader of HTTP/1.1 message bodies."""

import re
from typing import BinaryIO

from waxwingsaddle.http_heads import Framing, MalformedError, check_trailer

# Chunk size of up to 15 hexadecimal digits; chunk extensions are ignored.
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;[ -~\t]*)?\r\n')
# Longest chunk size line or trailer line, in bytes.
_MAX_LINE_BYTES = 1024
_MAX_TRAILERS = 64
_LINE_END = b'\r\n'
_HEXADECIMAL_BASE = 16


class Body:
    """Body of one message.

    Args:
        stream: Buffered stream, at the first byte of the body.
        framing: How the body is delimited.
        is_until_close: Whether a body without length and chunks lasts until
            the connection closes, as in responses. Otherwise it is empty, as
            in requests.

    Attributes:
        length: Value of `Content-Length`; None without that field.
        is_complete: Whether the body was read to its end.
    """

    def __init__(
        self,
        stream: BinaryIO,
        framing: Framing,
        is_until_close: bool = False,
    ) -> None:
        self.length = framing.length
        self._stream = stream
        self._is_chunked = framing.is_chunked
        self._is_until_close = is_until_close and not framing.is_chunked
        if framing.length is not None:
            self._is_until_close = False
        self._remaining_bytes = framing.length or 0
        self.is_complete = not (
            self._remaining_bytes or self._is_chunked or self._is_until_close
        )
        self._is_in_chunk = False

    def read(self, size_bytes: int) -> bytes:
        """Returns the next bytes; fewer than requested only at the end.

        Raises:
            MalformedError: The body is malformed or ends too early.
        """
        if self.is_complete:
            return b''
        if self._is_chunked:
            return self._read_chunked(size_bytes)
        if self._is_until_close:
            block = self._stream.read(size_bytes)
            self.is_complete = len(block) < size_bytes
            return block
        block = self._stream.read(min(size_bytes, self._remaining_bytes))
        if len(block) < min(size_bytes, self._remaining_bytes):
            raise MalformedError('body shorter than Content-Length')
        self._remaining_bytes -= len(block)
        self.is_complete = not self._remaining_bytes
        return block

    def _read_chunked(self, size_bytes: int) -> bytes:
        # Chunks are joined as they come: 64 KB in chunks of two bytes would
        # take 4 MB as separate objects.
        joined = bytearray()
        while len(joined) < size_bytes:
            if not self._remaining_bytes:
                self._start_next_chunk()
                if self.is_complete:
                    break
            block_bytes = min(size_bytes - len(joined), self._remaining_bytes)
            block = self._stream.read(block_bytes)
            if len(block) < block_bytes:
                raise MalformedError('connection ended within a chunk')
            self._remaining_bytes -= block_bytes
            if len(block) == size_bytes:
                return block
            joined += block
        return bytes(joined)

    def _start_next_chunk(self) -> None:
        if self._is_in_chunk and self._stream.read(2) != _LINE_END:
            raise MalformedError('chunk longer than its declared size')
        match = _CHUNK_LINE.fullmatch(self._read_line())
        if match is None:
            raise MalformedError('malformed chunk size')
        self._remaining_bytes = int(match.group(1), _HEXADECIMAL_BASE)
        self._is_in_chunk = True
        if not self._remaining_bytes:
            self._skip_trailers()
            self.is_complete = True

    def _skip_trailers(self) -> None:
        for _ in range(_MAX_TRAILERS):
            line = self._read_line()
            if line == _LINE_END:
                return
            check_trailer(line)
        raise MalformedError('too many trailer fields')

    def _read_line(self) -> bytes:
        line = self._stream.readline(_MAX_LINE_BYTES)
        if not line.endswith(_LINE_END):
            raise MalformedError('malformed line in a chunked body')
        return line
