"""Large answers that are read faster than their callers take them."""

import eventlet

from waxwingsaddle.calls import BrokenBodyError
from waxwingsaddle.read_ahead import ReadAheadBuffer, ReadAheadStream

PIECE = b'x' * 1000


class Body:
    """Body of a number of pieces, which may break off after the last one."""

    def __init__(self, pieces, is_broken=False):
        """Starts with nothing read."""
        self.read_pieces = 0
        self.is_closed = False
        self._pieces = pieces
        self._is_broken = is_broken

    def __iter__(self):
        """Yields the pieces."""
        for _ in range(self._pieces):
            self.read_pieces += 1
            yield PIECE
        if self._is_broken:
            raise BrokenBodyError('cut')

    def close(self):
        """Records that the upstream is free."""
        self.is_closed = True


def test_body_is_closed_before_its_caller_takes_it():
    """Guards against an upstream that is held up by a slow caller."""
    buffer = ReadAheadBuffer(10_000)
    body = Body(10)
    stream = ReadAheadStream(body, buffer)
    eventlet.sleep(0)
    assert body.is_closed
    assert buffer.held_bytes == 10_000
    assert b''.join(stream) == PIECE * 10
    assert buffer.held_bytes == 0


def test_all_answers_together_are_bounded():
    """Guards against memory that grows with the number of slow callers."""
    buffer = ReadAheadBuffer(10_000)
    bodies = [Body(8) for _ in range(5)]
    streams = [ReadAheadStream(body, buffer) for body in bodies]
    eventlet.sleep(0)
    # An answer that finds the buffer full holds one piece.
    assert buffer.held_bytes <= 10_000 + len(bodies) * len(PIECE)
    assert all(body.read_pieces for body in bodies)
    for stream in reversed(streams):
        assert b''.join(stream) == PIECE * 8
    assert buffer.held_bytes == 0
    assert all(body.is_closed for body in bodies)


def test_broken_body_stays_broken():
    """Guards against a broken body that ends as if it were whole."""
    stream = ReadAheadStream(Body(3, is_broken=True), ReadAheadBuffer(10_000))
    taken = []
    try:
        taken.extend(stream)
    except BrokenBodyError:
        taken.append('broken')
    assert taken[-1] == 'broken'


def test_closed_stream_frees_what_it_holds():
    """Guards against memory and an upstream held for a caller that left."""
    buffer = ReadAheadBuffer(4000)
    body = Body(20)
    stream = ReadAheadStream(body, buffer)
    assert next(iter(stream)) == PIECE
    assert not body.is_closed
    stream.close()
    stream.close()
    assert body.is_closed
    assert buffer.held_bytes == 0


def test_stream_that_never_started_frees_the_upstream():
    """Guards against a slot that stays taken when a call ends at once."""
    body = Body(2)
    ReadAheadStream(body, ReadAheadBuffer(4000)).close()
    assert body.is_closed
