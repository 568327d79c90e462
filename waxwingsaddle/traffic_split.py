"""Split of the calls of a route over services by weight."""

import random
from dataclasses import dataclass, field

from waxwingsaddle.routing import Match, RouteTable

_Key = tuple[str, tuple[tuple[int, str], ...]]


@dataclass(slots=True)
class WeightedTurns:
    """Gives turns in exact proportion to weights, evenly spread.

    Each turn raises the credit of every part by its weight and goes to the
    part with the most credit, which pays the sum of the weights for it. A
    draw by lot would stray by several percent over a few hundred calls.

    Attributes:
        weights: Weight of each part.
        credits: Credit of each part; a random start keeps the nodes of a
            fleet from giving their first turns to the same part.
    """

    weights: tuple[int, ...]
    credits: list[float]

    @classmethod
    def with_random_start(
        cls,
        weights: tuple[int, ...],
        rng: random.Random,
    ) -> 'WeightedTurns':
        """Returns turns with a random start."""
        total = sum(weights)
        first = rng.uniform(0, total)
        credits_now = []
        for weight in weights:
            credits_now.append(weight - total if 0 <= first < weight else 0.0)
            first -= weight
        return cls(weights, credits_now)

    def next_index(self) -> int:
        """Returns the index of the part that takes the next turn."""
        for index, weight in enumerate(self.weights):
            self.credits[index] += weight
        chosen = max(range(len(self.weights)), key=self._rank)
        self.credits[chosen] -= sum(self.weights)
        return chosen

    def _rank(self, index: int) -> tuple[bool, float]:
        return self.weights[index] > 0, self.credits[index]


@dataclass(slots=True)
class TrafficSplitter:
    """Turns of all split routes of a node.

    Attributes:
        rng: Draws the start of each route.
    """

    rng: random.Random
    _table: RouteTable | None = None
    _turns: dict[_Key, WeightedTurns] = field(default_factory=dict)

    def select_service(self, table: RouteTable, match: Match) -> Match:
        """Returns the match with the service that takes this call.

        Args:
            table: The route table in force.
            match: A match of it.
        """
        if not match.shares:
            return match
        if table is not self._table:
            self._drop_stale_turns(table)
        key = _split_key(match)
        turns = self._turns.get(key)
        if turns is None:
            weights = tuple(weight for weight, _ in match.shares)
            turns = WeightedTurns.with_random_start(weights, self.rng)
            self._turns[key] = turns
        return match.shares[turns.next_index()][1]

    def _drop_stale_turns(self, table: RouteTable) -> None:
        self._table = table
        current_keys = {_split_key(match) for match in table.split_matches}
        self._turns = {
            key: turns
            for key, turns in self._turns.items()
            if key in current_keys
        }


def _split_key(match: Match) -> _Key:
    parts = tuple((weight, part.route.service) for weight, part in match.shares)
    return match.name, parts
