"""Events of nodes on their way to a control host."""

from itertools import repeat

from test.distribution_fleet import fleet, until
from waxwingsaddle.event_batches import LOST_KIND
from waxwingsaddle.events import Timeline
from waxwingsaddle.fleet_events import FleetTimeline, filter_events
from waxwingsaddle.node_events import BURST_S, NodeEvents
from waxwingsaddle.node_messages import Renew, decode_from_node
from waxwingsaddle.util.clock import HybridClock, Stamp
from waxwingsaddle.util.codec import pack

RATE = 100


class Pair:
    """A node and its control host, with a clock of the test."""

    def __init__(self, kept=100, node_kept=100):
        self.now_s = 0
        self.timeline = Timeline('node', 'n', kept)
        self.node = NodeEvents(self.timeline, RATE, lambda: self.now_s)
        self.control = FleetTimeline('c', 10, node_kept)
        self.known = 0
        self.sent_bytes = 0

    def renew(self, is_answered=True):
        """Sends a batch when there is one, and confirms it."""
        self.now_s += 2
        batch = self.node.next_batch()
        if batch is None:
            return
        packed = pack(Renew(1, 1, '', 1, events=batch))
        batch = decode_from_node(packed).events
        self.sent_bytes += len(pack(batch.events))
        self.known = self.control.add_batch('n', batch, self.known)
        if is_answered:
            self.node.confirm(self.known)

    def shown(self):
        """Returns kind and number of the events at the control host."""
        return [
            (event.kind, event.details.get('count') or event.details['number'])
            for event in self.control.since(0)[0]
        ]

    def record(self, numbers):
        """Records numbered events."""
        for number in numbers:
            self.timeline.record('k', number=number)


def test_events_come_once_and_within_the_budget():
    """Guards against events that use the bytes of the configuration."""
    pair = Pair()
    pair.record(range(60))
    rounds = 0
    while len(pair.shown()) < 60:
        pair.renew(is_answered=rounds % 3 > 0)
        rounds += 1
        assert rounds < 100
    assert pair.shown() == [('k', str(number)) for number in range(60)]
    budget_bytes = RATE * (pair.now_s + BURST_S)
    assert pair.sent_bytes <= budget_bytes + rounds
    pair.renew()
    assert pair.node.next_batch() is None


def test_overflow_is_a_gap():
    """Guards against a time line that looks complete and is not."""
    pair = Pair(kept=3)
    pair.record(range(2))
    pair.renew()
    pair.record(range(2, 9))
    pair.renew(is_answered=False)
    pair.renew()
    numbers = [('k', str(number)) for number in (0, 1, 6, 7, 8)]
    assert pair.shown() == [*numbers[:2], (LOST_KIND, '4'), *numbers[2:]]


def test_chatty_nodes_leave_the_events_of_the_host():
    """Guards against a leader change that events of nodes push out."""
    pair = Pair(node_kept=5)
    pair.control.record('leader', number=0)
    pair.record(range(9))
    for _ in range(9):
        pair.renew()
    events, lost = pair.control.since(0)
    assert (events[0].kind, len(events), lost) == ('leader', 6, 4)
    later, lost = pair.control.since(pair.control.recorded - 1)
    assert ([event.details for event in later], lost) == ([{'number': '8'}], 0)
    document = pair.control.events_since(0)
    only = filter_events(document, lambda one: one.kind == 'leader')
    assert [event.kind for event in only.events] == ['leader']


def test_control_host_records_after_what_it_received():
    """Guards against an effect before its cause on a slow clock."""
    control = FleetTimeline('c', 9, 9, HybridClock(lambda: 10))
    fast = Timeline('node', 'n', 9, HybridClock(repeat(5000).__next__))
    node = NodeEvents(fast, RATE, int)
    node.record('cause')
    control.add_batch('n', node.next_batch(), 0)
    control.record('effect')
    stamps = [(one.wall_ms, one.counter) for one in control.since(0)[0]]
    assert stamps[1] > stamps[0]


def test_node_with_a_slow_clock_moves_between_control_hosts():
    """Guards against a version in force before it was accepted."""
    with fleet(('zone-a', 'zone-b'), node_options={'lease_renew_ms': 100}) as (
        controls,
        (node,),
    ):
        lead = Stamp(node.timeline.clock.tick().wall_ms + 60_000, 0)
        for control in controls:
            control.events.clock.observe(lead)
            control.events.record('accepted')
            control.accept(2)
        until(lambda: node.version == 2, 'version 2')
        in_force = node.timeline.since(0)[0][-1]
        assert (in_force.wall_ms, in_force.counter) > (lead.wall_ms, 1)
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
                in [one.kind for one in controls[1].events.since(0)[0]]
            ),
            'a later event at the other control host',
        )
        assert LOST_KIND not in [
            one.kind for one in controls[1].events.since(0)[0]
        ]


def test_wall_clock_far_ahead_is_not_followed():
    """Guards against one wrong clock that dates the events of the fleet."""
    clock = HybridClock(lambda: 1000)
    clock.observe(Stamp(10**15, 0))
    assert clock.tick() == Stamp(1000, 0)
