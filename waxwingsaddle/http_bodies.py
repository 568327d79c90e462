"""Bodies of HTTP/1.1 messages, read strictly from a buffered stream."""

import re
from collections.abc import Iterator
from typing import BinaryIO

from waxwingsaddle.http_heads import Framing, MalformedError

# Up to 15 hexadecimal digits, and extensions that are passed over.
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;[ -~\t]*)?\r\n')
_MOST_LINE_BYTES = 1024
_MOST_TRAILERS = 64
_LINE_END = b'\r\n'
_HEXADECIMAL = 16


class Body:
    """Body of one message.

    Args:
        stream: Buffered stream, at the first byte of the body.
        framing: How the body is delimited.
        is_to_end: Whether a body without length lasts to the end of the
            stream (answers), rather than being empty (requests).
    """

    def __init__(
        self,
        stream: BinaryIO,
        framing: Framing,
        is_to_end: bool = False,
    ) -> None:
        self.length = framing.length
        self._stream = stream
        self._is_chunked = framing.is_chunked
        self._is_to_end = is_to_end and not framing.is_chunked
        if framing.length is not None:
            self._is_to_end = False
        self._left = framing.length or 0
        self.is_complete = not (
            self._left or self._is_chunked or self._is_to_end
        )
        self._in_chunk = False

    def read(self, size: int) -> bytes:
        """Returns the next bytes, fewer than asked for only at the end.

        Raises:
            MalformedError: The body is malformed or ends too early.
        """
        if self.is_complete:
            return b''
        if self._is_chunked:
            return b''.join(self._chunked(size))
        if self._is_to_end:
            got = self._stream.read(size)
            self.is_complete = len(got) < size
            return got
        got = self._stream.read(min(size, self._left))
        if len(got) < min(size, self._left):
            raise MalformedError('the body ends too early')
        self._left -= len(got)
        self.is_complete = not self._left
        return got

    def _chunked(self, size: int) -> Iterator[bytes]:
        while size:
            if not self._left:
                self._next_chunk()
                if self.is_complete:
                    return
            wanted = min(size, self._left)
            got = self._stream.read(wanted)
            if len(got) < wanted:
                raise MalformedError('a chunk ends too early')
            self._left -= wanted
            size -= wanted
            yield got

    def _next_chunk(self) -> None:
        if self._in_chunk and self._stream.read(2) != _LINE_END:
            raise MalformedError('a chunk does not end where it says')
        match = _CHUNK_LINE.fullmatch(self._line())
        if match is None:
            raise MalformedError('malformed chunk size')
        self._left = int(match.group(1), _HEXADECIMAL)
        self._in_chunk = True
        if not self._left:
            self._skip_trailers()
            self.is_complete = True

    def _skip_trailers(self) -> None:
        for _ in range(_MOST_TRAILERS):
            if self._line() == _LINE_END:
                return
        raise MalformedError('too many trailers')

    def _line(self) -> bytes:
        line = self._stream.readline(_MOST_LINE_BYTES)
        if not line.endswith(_LINE_END):
            raise MalformedError('malformed line in a body')
        return line
