"""Distribution of the calls of a route over services by weight."""

import random

from waxwingsaddle.traffic_split import WeightedTurns


def _shares(weights, turns, seed):
    turns_taken = WeightedTurns.with_random_start(weights, random.Random(seed))
    counts = [0 for _ in weights]
    for _ in range(turns):
        counts[turns_taken.next_index()] += 1
    return counts


def test_turns_follow_the_weights_exactly():
    """Guards against shares that deviate from their weights."""
    for seed in range(20):
        assert _shares((95, 5), 300, seed) in ([285, 15], [286, 14], [284, 16])
        assert sum(_shares((1, 2, 3), 600, seed)) == 600
        assert _shares((1, 2, 3), 600, seed)[2] in range(299, 302)


def test_part_without_weight_takes_no_turn():
    """Guards against calls to a service with weight 0."""
    for seed in range(20):
        assert _shares((100, 0), 200, seed) == [200, 0]
        assert _shares((0, 7), 200, seed) == [0, 200]


def test_nodes_begin_at_different_parts():
    """Guards against first calls of all nodes that go to the same service."""
    firsts = {
        WeightedTurns.with_random_start(
            (50, 50), random.Random(seed)
        ).next_index()
        for seed in range(20)
    }
    assert firsts == {0, 1}
