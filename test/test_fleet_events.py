"""Tests of how events of nodes reach a control host."""

from itertools import repeat

from test.distribution_fleet import fleet, until
from waxwingsaddle.event_batches import LOST_KIND
from waxwingsaddle.events import Timeline
from waxwingsaddle.fleet_events import FleetTimeline, filter_events
from waxwingsaddle.node_events import BURST_S, NodeEvents
from waxwingsaddle.node_messages import Renew, decode_from_node
from waxwingsaddle.util.clock import HybridClock, Stamp
from waxwingsaddle.util.codec import pack

BYTES_PER_S = 100


class Pair:
    """A node and its control host, with a simulated clock.

    Attributes:
        sent_bytes: Encoded size of all batches sent, in bytes.
    """

    def __init__(self, capacity=100, node_capacity=100):
        self.now_s = 0
        self.timeline = Timeline('node', 'n', capacity)
        self.node = NodeEvents(self.timeline, BYTES_PER_S, lambda: self.now_s)
        self.control = FleetTimeline('c', 10, node_capacity)
        self.known_count = 0
        self.sent_bytes = 0

    def renew(self, is_answered=True):
        """Sends the next batch, if any.

        Args:
            is_answered: Whether the confirmation reaches the node.
        """
        self.now_s += 2
        batch = self.node.next_batch()
        if batch is None:
            return
        packed = pack(Renew(1, 1, '', 1, events=batch))
        batch = decode_from_node(packed).events
        self.sent_bytes += len(pack(batch.events))
        self.known_count = self.control.add_batch('n', batch, self.known_count)
        if is_answered:
            self.node.confirm(self.known_count)

    def received(self):
        """Returns the kind and the number of the events at the control host."""
        return [
            (event.kind, event.details.get('count') or event.details['number'])
            for event in self.control.since(0)[0]
        ]

    def record(self, numbers):
        """Records an event for each number at the node."""
        for number in numbers:
            self.timeline.record('k', number=number)


def test_events_arrive_once_and_within_the_budget():
    """Guards against events that exceed their byte budget or arrive twice.

    Nodes share the link with configuration updates. Every third confirmation
    is lost, so batches are sent again.
    """
    pair = Pair()
    pair.record(range(60))
    rounds = 0
    while len(pair.received()) < 60:
        pair.renew(is_answered=rounds % 3 > 0)
        rounds += 1
        assert rounds < 100
    assert pair.received() == [('k', str(number)) for number in range(60)]
    budget_bytes = BYTES_PER_S * (pair.now_s + BURST_S)
    assert pair.sent_bytes <= budget_bytes + rounds
    pair.renew()
    assert pair.node.next_batch() is None


def test_dropped_events_are_reported():
    """Guards against a timeline that omits dropped events silently.

    The buffer of the node holds 3 events, and more are recorded in between.
    """
    pair = Pair(capacity=3)
    pair.record(range(2))
    pair.renew()
    pair.record(range(2, 9))
    pair.renew(is_answered=False)
    pair.renew()
    numbers = [('k', str(number)) for number in (0, 1, 6, 7, 8)]
    assert pair.received() == [*numbers[:2], (LOST_KIND, '4'), *numbers[2:]]


def test_events_of_nodes_keep_those_of_the_host():
    """Guards against node events that displace those of the control host.

    The buffer for events of nodes holds 5, and a node records more.
    """
    pair = Pair(node_capacity=5)
    pair.control.record('leader', number=0)
    pair.record(range(9))
    for _ in range(9):
        pair.renew()
    events, lost = pair.control.since(0)
    assert (events[0].kind, len(events), lost) == ('leader', 6, 4)
    later, lost = pair.control.since(pair.control.recorded - 1)
    assert ([event.details for event in later], lost) == ([{'number': '8'}], 0)
    document = pair.control.events_since(0)
    leader_events = filter_events(
        document, lambda candidate: candidate.kind == 'leader'
    )
    assert [event.kind for event in leader_events.events] == ['leader']


def test_effect_is_dated_after_a_received_cause():
    """Guards against an effect that is dated before its cause.

    The clock of the control host is behind that of the node.
    """
    control = FleetTimeline('c', 9, 9, HybridClock(lambda: 10))
    ahead_timeline = Timeline(
        'node', 'n', 9, HybridClock(repeat(5000).__next__)
    )
    node = NodeEvents(ahead_timeline, BYTES_PER_S, int)
    node.record('cause')
    control.add_batch('n', node.next_batch(), 0)
    control.record('effect')
    stamps = [(event.wall_ms, event.counter) for event in control.since(0)[0]]
    assert stamps[1] > stamps[0]


def test_node_with_a_slow_clock_moves_between_control_hosts():
    """Guards against a version dated in force before it was accepted.

    The clock of the node is a minute behind that of its control hosts. Its
    events must also survive a move to another control host.
    """
    with fleet(('zone-a', 'zone-b'), node_options={'lease_renew_ms': 100}) as (
        controls,
        (node,),
    ):
        ahead = Stamp(node.timeline.clock.tick().wall_ms + 60_000, 0)
        for control in controls:
            control.events.clock.observe(ahead)
            control.events.record('accepted')
            control.accept(2)
        until(lambda: node.version == 2, 'version 2')
        in_force = node.timeline.since(0)[0][-1]
        assert (in_force.wall_ms, in_force.counter) > (ahead.wall_ms, 1)
        controls[0].service.stop()
        until(
            lambda: (
                in_force in controls[1].events.since(0)[0]
                or in_force in controls[0].events.since(0)[0]
            ),
            'the event at a control host',
        )
        node.timeline.record('after-move')
        until(
            lambda: (
                'after-move'
                in [event.kind for event in controls[1].events.since(0)[0]]
            ),
            'a later event at the other control host',
        )
        assert LOST_KIND not in [
            event.kind for event in controls[1].events.since(0)[0]
        ]


def test_clock_far_ahead_is_ignored():
    """Guards against one wrong clock that shifts the events of all hosts.

    A timestamp too far ahead must not advance the hybrid clock.
    """
    clock = HybridClock(lambda: 1000)
    clock.observe(Stamp(10**15, 0))
    assert clock.tick() == Stamp(1000, 0)
