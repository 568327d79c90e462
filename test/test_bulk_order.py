"""Order of large answers on a narrow link, in simulated time."""

import random

from nose2.tools import params

from waxwingsaddle.bulk_order import BulkTurn

PIECE_BYTES = 8192
MEAN_BYTES = 90_000
MAX_BYTES = 540_000
OBJECTIVE_S = 1.0


def _arrivals(load, bytes_per_s, end_s, seed):
    rng = random.Random(seed)
    now_s = 0.0
    while now_s < end_s:
        now_s += rng.expovariate(load * bytes_per_s / MEAN_BYTES)
        size_bytes = int(min(MAX_BYTES, rng.expovariate(1 / MEAN_BYTES)))
        yield BulkTurn(now_s, size_bytes + 1)


def _order_in_turns(_turn):
    # Each answer goes to the end of the list after its piece.
    return 0


def _order(turn):
    return turn.order


def _durations_s(arrivals, bytes_per_s, order):
    """Returns how long each answer takes, by its length and its start."""
    coming = sorted(arrivals, key=lambda turn: turn.opened_s)
    now_s = 0.0
    open_turns = []
    durations_s = {}
    while coming or open_turns:
        if not open_turns:
            now_s = max(now_s, coming[0].opened_s)
        while coming and coming[0].opened_s <= now_s:
            open_turns.append(coming.pop(0))
        turn = min(open_turns, key=order)
        open_turns.remove(turn)
        turn.sent_bytes += PIECE_BYTES
        now_s += PIECE_BYTES / bytes_per_s
        if turn.sent_bytes < turn.length_bytes:
            open_turns.append(turn)
        else:
            durations_s[turn.length_bytes, turn.opened_s] = (
                now_s - turn.opened_s
            )
    return durations_s


def _late_share(load, seed, order):
    bytes_per_s = 480_000
    durations_s = _durations_s(
        _arrivals(load, bytes_per_s, 120, seed), bytes_per_s, order
    )
    late = sum(took_s > OBJECTIVE_S for took_s in durations_s.values())
    return late / len(durations_s)


@params(*((load, seed) for load in (0.6, 0.8, 0.95) for seed in (1, 2, 3)))
def test_fewer_answers_are_late_than_in_turns(load, seed):
    """Guards against serving large answers in turns, which makes all late."""
    in_turns = _late_share(load, seed, _order_in_turns)
    in_order = _late_share(load, seed, _order)
    assert in_order < in_turns * 2 / 3, (in_order, in_turns)


def test_large_answer_is_not_starved():
    """Guards against a large answer that waits for all smaller ones.

    For 28 s, more small answers arrive than the link carries.
    """
    bytes_per_s = 480_000
    large = BulkTurn(0.001, MAX_BYTES)
    small = [BulkTurn(number / 70, PIECE_BYTES) for number in range(2000)]
    durations_s = _durations_s([large, *small], bytes_per_s, _order)
    large_s = max(
        took_s
        for (length_bytes, _), took_s in durations_s.items()
        if length_bytes == MAX_BYTES
    )
    assert large_s < 28, large_s


@params(0, 1, 500_000)
def test_answer_without_length_has_an_order(sent_bytes):
    """Guards against an answer without length that always goes first."""
    unsized = BulkTurn(0.0, None, sent_bytes)
    assert unsized.order >= BulkTurn(0.0, sent_bytes, 0).order
