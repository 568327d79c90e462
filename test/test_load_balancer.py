"""Load balancing: zones, sampling, slow start, ejection, health hints."""

import random
from collections import Counter
from dataclasses import dataclass, replace
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call
from waxwingsaddle.ejection import Evidence
from waxwingsaddle.guard_decisions import Load
from waxwingsaddle.load_balancer import LoadBalancer, key_of
from waxwingsaddle.upstream_estimate import AttemptResult

READ = Call('', 'r', 'short', 'normal', is_idempotent=True, deadline_s=1)
BOOK = replace(READ, is_idempotent=False)
GOOD = AttemptResult(Evidence.ANSWERED, 0.02)
SLOW = AttemptResult(Evidence.ANSWERED, 0.4)
FAILED = AttemptResult(Evidence.FAILED, 0.01)


@dataclass
class Entry:
    """Directory entry of an upstream."""

    name: str
    availability_zone: str = 'a'
    slots: int = 4
    state: str = 'ready'
    started_ms_ago: int = 3_600_000
    service: str = 's'

    @property
    def host(self):
        """The host of the upstream."""
        return self.name


class Node:
    """A load balancer with a clock that the test sets."""

    def __init__(self, *entries, **service):
        """Creates a load balancer over the entries."""
        self.now_s = 0
        self.entries = entries
        self.balancer = LoadBalancer(
            'a',
            10,
            config_models.Service(**service),
            lambda: self.now_s,
            random.Random(1),
        )
        self.balancer.update(entries)

    def send(self, call=READ, **endings):
        """Sends one call; its upstream answers well unless `endings` differ."""
        entry = self.balancer.choose(call)
        ticket = self.balancer.start_attempt(entry, call)
        self.balancer.finish_attempt(ticket, endings.get(entry.name, GOOD))
        self.now_s += 0.01
        return entry.name

    def shares(self, count=400, **endings):
        """Sends calls and counts them by upstream."""
        return Counter(self.send(**endings) for _ in range(count))


def _three(**service):
    return Node(Entry('x'), Entry('y'), Entry('z'), **service)


def test_own_zone_first_and_spill_when_it_is_full():
    """Guards against needless calls to other zones and queues in the own."""
    node = Node(Entry('near'), Entry('far', 'b'))
    assert node.shares() == {'near': 400}
    full = AttemptResult(Evidence.ANSWERED, 0.02, Load(4, 8, 4, 50))
    for _ in range(2):
        node.send(near=full)
    assert node.send() == 'far'
    node.now_s += 10
    assert node.send() == 'near', 'old load reports must lose their weight'


def test_calls_in_flight_spread_the_next_ones():
    """Guards against all calls going to one upstream between load reports."""
    node = _three()
    in_flight = Counter()
    for _ in range(30):
        entry = node.balancer.choose(READ)
        node.balancer.start_attempt(entry, READ)
        in_flight[entry.name] += 1
    assert max(in_flight.values()) - min(in_flight.values()) <= 3


def test_refusal_turns_calls_away():
    """Guards against calls to an upstream that has just refused one."""
    node = _three()
    refused = AttemptResult(Evidence.REFUSED, 0.001, retry_after_ms=500)
    first = node.send(x=refused, y=refused, z=refused)
    following = {node.send() for _ in range(20)}
    assert first not in following


def _refuse_all(node, wait_ms=400):
    refused = AttemptResult(Evidence.REFUSED, 0.001, retry_after_ms=wait_ms)
    for entry in node.entries:
        node.balancer.finish_attempt(
            node.balancer.start_attempt(entry, READ), refused
        )


def test_full_guards_are_not_asked_again_at_once():
    """Guards against processor time spent on calls that are refused anyway.

    At peak load every refused call went to two guards, which cost both hosts
    more than a third of the cost of a served call.
    """
    node = _three()
    assert not node.balancer.hold_off_s(READ)
    _refuse_all(node)
    wait_ms = round(node.balancer.hold_off_s(READ) * 1000)
    assert 300 < wait_ms <= 400
    # Half of the queues is left by then, so that no upstream becomes idle.
    node.now_s += 0.21
    assert not node.balancer.hold_off_s(READ)


def test_hold_off_spares_other_calls():
    """Guards against refusing calls of a kind that no guard has refused."""
    node = _three()
    _refuse_all(node)
    assert not node.balancer.hold_off_s(replace(READ, route='urgent'))
    # Guards refuse late calls first: that says nothing about calls in time.
    late = replace(READ, due_s=node.now_s)
    assert not node.balancer.hold_off_s(late)
    # One guard that has not refused any call is enough.
    node = _three()
    node.entries = node.entries[:2]
    _refuse_all(node)
    assert not node.balancer.hold_off_s(READ)
    tried = {key_of(Entry('z'))}
    assert node.balancer.hold_off_s(READ, tried)


def test_large_answers_are_not_spilled_to_other_zones():
    """Guards against transfers between zones that a short wait would avoid.

    With one upstream in each zone, every download that found all slots in use
    went to another zone at once: half of all downloads.
    """
    node = Node(Entry('near'), Entry('far', 'b'))
    assert len(node.balancer.spillover_targets('r')) == 2
    large = replace(GOOD, transfer_bytes=90_000)
    small = replace(GOOD, transfer_bytes=5000)
    node.send(near=large)
    node.send(replace(READ, route='other'), near=small)
    assert [up.name for up in node.balancer.spillover_targets('r')] == ['near']
    assert len(node.balancer.spillover_targets('other')) == 2


def test_refused_long_work_does_not_turn_short_work_away():
    """Guards against short calls that leave the slots reserved for them."""
    node = Node(Entry('near'), Entry('far', 'b'))
    long = replace(READ, route='long')
    refused = AttemptResult(Evidence.REFUSED, 0.001, Load(4, 9, 8, 0), 500)
    node.send(long, near=refused)
    assert node.send() == 'near'
    assert node.send(long) == 'far'


def test_cold_upstream_gets_a_growing_share():
    """Guards against full load on a cold upstream, and against no load."""
    cold = Entry('x', started_ms_ago=0)
    node = Node(cold, Entry('y'), Entry('z'))
    early = node.shares(100)['x']
    node.now_s = 20
    late = node.shares(100)['x']
    assert 0 < early < late / 2, (early, late)


def test_draining_and_tried_upstreams_get_nothing():
    """Guards against new calls to a draining upstream, and repeated ones."""
    node = Node(Entry('x', state='draining'), Entry('y'), Entry('z'))
    assert 'x' not in node.shares(100)
    tried = {key_of(entry) for entry in node.entries[1:]}
    assert node.balancer.choose(READ, tried) is None


def test_failing_upstream_is_ejected_and_probed_later_and_later():
    """Guards against calls lost at a dead upstream, and too many probes."""
    node = _three()
    probes = []
    for _ in range(6000):
        if node.send(x=FAILED) == 'x':
            probes.append(node.now_s)
    gaps = [later - sooner for sooner, later in pairwise(probes[2:])]
    assert len(probes) < 12, probes
    assert gaps[0] < gaps[2] < gaps[4], gaps
    node.now_s += 60
    assert node.shares(300)['x'] > 30, 'the upstream must get calls again'


def test_slow_answer_leaves_an_upstream_to_try():
    """Guards against calls that fail while another upstream answers.

    A call that cannot reach its upstream is retried at a responsive one; a
    single slow answer there counted as a failure, and the call was lost.
    """
    node = Node(Entry('x'), Entry('y'))
    node.shares(20)
    tried = {key_of(node.entries[0])}
    for result, is_responsive in ((SLOW, True), (FAILED, False), (GOOD, True)):
        ticket = node.balancer.start_attempt(node.entries[1], READ)
        node.balancer.finish_attempt(ticket, result)
        assert node.balancer.has_responsive(tried) is is_responsive, result


def test_one_long_call_is_no_sign_of_a_slow_upstream():
    """Guards against calls to other zones because a single call takes long.

    Three calls in a hundred take seven times as long as the others. With one
    upstream in each zone, the oldest call in flight made it look slow so often
    that half of all large answers came from another zone.
    """
    node = Node(Entry('near'), Entry('far', 'b'))
    large = replace(GOOD, transfer_bytes=90_000)
    for _ in range(20):
        node.send(near=large, far=large)
    near = node.entries[0]
    node.balancer.start_attempt(near, READ)
    node.now_s += 0.3
    # The call has taken fifteen times as long as the median.
    node.balancer.start_attempt(near, READ)
    assert node.balancer.choose(READ) is near
    # Several calls that take so long are a sign of a slow upstream.
    node.balancer.start_attempt(near, READ)
    node.now_s += 0.4
    assert node.balancer.choose(READ) is node.entries[1]


def test_slow_upstream_is_ejected():
    """Guards against a latency tail while an upstream answers slowly."""
    node = _three()
    node.shares(200)
    slow = node.shares(3000, x=SLOW)['x']
    assert slow < 10, slow


def test_slow_answers_in_a_row_eject():
    """Guards against a slow upstream that is avoided by its cost only.

    The cost decays within seconds, while the time of an ejection doubles.
    """
    node = _three()
    node.shares(200)
    for endings, ejected_keys in (
        ((SLOW, SLOW, GOOD, SLOW, SLOW), ()),
        ((SLOW,), (key_of(node.entries[0]),)),
    ):
        for result in endings:
            ticket = node.balancer.start_attempt(node.entries[0], READ)
            node.balancer.finish_attempt(ticket, result)
        assert node.balancer.ejected_keys() == ejected_keys, endings


def test_only_idempotent_calls_probe():
    """Guards against losing a booking as the probe of an upstream."""
    node = _three()
    while not node.balancer.ejected_keys():
        node.send(x=FAILED)
    node.now_s += 5
    assert 'x' not in {node.send(BOOK, x=FAILED) for _ in range(50)}
    assert node.send(x=GOOD) == 'x'


@settings(max_examples=50, deadline=None)
@given(st.sets(st.integers(0, 9)), st.integers(0, 100))
def test_ejected_share_is_bounded(failing, percent):
    """Guards against ejections that overload the remaining upstreams."""
    entries = [Entry(f'u{number}') for number in range(10)]
    node = Node(*entries, max_ejected_percent=percent)
    endings = {f'u{number}': FAILED for number in failing}
    for _ in range(300):
        node.send(**endings)
        assert len(node.balancer.ejected_keys()) * 10 <= percent
    if len(failing) * 10 <= percent:
        assert len(node.balancer.ejected_keys()) == len(failing)


def test_health_hint_never_excludes():
    """Guards against excluding an upstream by a misleading health endpoint."""
    node = Node(Entry('x'), Entry('y'))
    node.balancer.set_health_hint(key_of(node.entries[0]), is_healthy=False)
    assert node.shares(100)['y'] > 90
    node.balancer.set_health_hint(key_of(node.entries[1]), is_healthy=False)
    assert min(node.shares(100).values()) > 20
