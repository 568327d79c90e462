"""Traffic split: distributes the calls of a route over services by weight."""

import random
from dataclasses import dataclass, field

from waxwingsaddle.routing import Match, RouteTable

_SplitKey = tuple[str, tuple[tuple[int, str], ...]]


@dataclass(slots=True)
class WeightedTurns:
    """Smooth weighted round robin: shares match the weights exactly.

    Each turn adds to the credit of every service its weight, and goes to the
    service with the most credit, which is reduced by the sum of the weights.
    A random choice would deviate by several percent over a few hundred calls.

    Attributes:
        weights: Weight of each service.
        credits: Credit of each service. It starts at random, so that the nodes
            of a fleet do not give their first turns to the same service.
    """

    weights: tuple[int, ...]
    credits: list[float]

    @classmethod
    def with_random_start(
        cls,
        weights: tuple[int, ...],
        rng: random.Random,
    ) -> 'WeightedTurns':
        """Returns a round robin that starts at a random service."""
        total = sum(weights)
        first = rng.uniform(0, total)
        credits_now = []
        for weight in weights:
            credits_now.append(weight - total if 0 <= first < weight else 0.0)
            first -= weight
        return cls(weights, credits_now)

    def next_index(self) -> int:
        """Returns the index of the service that gets the next call."""
        for index, weight in enumerate(self.weights):
            self.credits[index] += weight
        chosen = max(range(len(self.weights)), key=self._rank)
        self.credits[chosen] -= sum(self.weights)
        return chosen

    def _rank(self, index: int) -> tuple[bool, float]:
        return self.weights[index] > 0, self.credits[index]


@dataclass(slots=True)
class TrafficSplitter:
    """Distributes the calls of all split routes of a node.

    Attributes:
        rng: Chooses the start of each route.
    """

    rng: random.Random
    _table: RouteTable | None = None
    _turns: dict[_SplitKey, WeightedTurns] = field(default_factory=dict)

    def select_service(self, table: RouteTable, match: Match) -> Match:
        """Returns the match with the service that gets this call.

        Args:
            table: The route table in force.
            match: A match from this table.
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


def _split_key(match: Match) -> _SplitKey:
    parts = tuple((weight, part.route.service) for weight, part in match.shares)
    return match.name, parts
