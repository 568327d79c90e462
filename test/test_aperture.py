"""Parts of the upstreams that nodes prefer, in a fleet of hundreds of nodes."""

import random
from collections import Counter

from test.test_load_balancer import BOOK, FAILED, Entry, Node
from waxwingsaddle.aperture import LOCAL_SIZE, REMOTE_SIZE, Aperture
from waxwingsaddle.ejection import Evidence
from waxwingsaddle.guard_decisions import Load
from waxwingsaddle.upstream_estimate import AttemptResult
from waxwingsaddle.upstream_keys import key_of

ZONE_UPSTREAMS = 24
ZONES = 'abcde'
FLEET = tuple(
    Entry(f'up-{zone}-{number}', zone)
    for zone in ZONES
    for number in range(ZONE_UPSTREAMS)
)
# With the numbers of a fleet of 240 nodes.
NODES_PER_ZONE = 48
CALLS = 1500


def _aperture(host, zone='a', entries=FLEET):
    aperture = Aperture(host)
    aperture.update(
        [entry for entry in entries if entry.availability_zone == zone],
        [entry for entry in entries if entry.availability_zone != zone],
    )
    return aperture


def _names(aperture, entries=FLEET):
    return {entry.name for entry in aperture.split(entries)[0]}


def test_small_services_are_preferred_whole():
    """Guards against upstreams that get no calls in a small fleet."""
    small = FLEET[: LOCAL_SIZE - 1] + FLEET[-REMOTE_SIZE:]
    assert len(_names(_aperture('n', entries=small), small)) == len(small)


def test_calls_of_a_fleet_reach_all_upstreams_evenly():
    """Guards against upstreams that few nodes prefer."""
    users = Counter()
    for zone in ZONES:
        for number in range(NODES_PER_ZONE):
            users.update(_names(_aperture(f'node-{zone}-{number}', zone)))
    assert len(users) == len(FLEET)
    mean = users.total() / len(FLEET)
    assert min(users.values()) > 0.6 * mean, min(users.values())
    assert max(users.values()) < 1.4 * mean, max(users.values())


def test_few_connections_move_when_an_upstream_leaves():
    """Guards against a fleet that reconnects at each change."""
    before = _names(_aperture('n'))
    for left in FLEET:
        rest = tuple(entry for entry in FLEET if entry is not left)
        after = _names(_aperture('n', entries=rest), rest)
        expected = 1 if left.name in before else 0
        assert len(after - before) == expected, left.name


def test_node_calls_a_part_of_the_upstreams():
    """Guards against a connection of each node to each upstream."""
    assert len(Node(*FLEET).shares(CALLS)) <= LOCAL_SIZE + REMOTE_SIZE


def test_calls_go_on_when_the_preferred_upstreams_are_full():
    """Guards against refusals while other upstreams of the zone are idle."""
    node = Node(*FLEET)
    preferred = _names(_aperture(''))
    full = AttemptResult(
        Evidence.REFUSED, 0.001, Load(4, 4, 4, 500), retry_after_ms=20_000
    )
    endings = dict.fromkeys(preferred, full)
    names = [node.send(**endings) for _ in range(CALLS // 10)]
    # By then the node has called all that it prefers.
    last = names[len(names) // 2 :]
    assert not preferred.intersection(last), Counter(last)
    local = [name for name in last if name.startswith('up-a')]
    assert len(local) > 0.9 * len(last), Counter(last)


def test_calls_go_on_when_the_preferred_upstreams_fail():
    """Guards against a node that calls none but ejected upstreams."""
    node = Node(*FLEET, max_ejected_percent=100)
    failing = dict.fromkeys(_names(_aperture('')), FAILED)
    names = [node.send(BOOK, **failing) for _ in range(CALLS)]
    last = Counter(names[CALLS // 2 :])
    failed = sum(count for name, count in last.items() if name in failing)
    assert failed < 0.05 * last.total(), failed


def test_shares_are_even_across_nodes():
    """Guards against uneven load of upstreams that run at the same speed."""
    rng = random.Random(3)
    arrivals = Counter()
    for zone in ZONES:
        for number in range(NODES_PER_ZONE):
            local = [
                entry for entry in FLEET if entry.availability_zone == zone
            ]
            aperture = _aperture(f'node-{zone}-{number}', zone)
            preferred = aperture.split(local)[0]
            arrivals.update(key_of(rng.choice(preferred)) for _ in range(50))
    mean = arrivals.total() / len(FLEET)
    assert max(arrivals.values()) < 1.5 * mean, max(arrivals.values()) / mean
