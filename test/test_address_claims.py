"""Upstreams that announce themselves at one address."""

from nose2.tools import params

from test.test_announcement_order import _body, _states
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.upstreams import Upstreams

TTL_MS = 10_000


class _Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def _at_one_address():
    """Returns a clock and upstreams: i-2 has just displaced i-1."""
    clock = _Clock()
    upstreams = Upstreams(Kernel(), TTL_MS, clock)
    upstreams.record_announcement('i-1', _body(100, 5))
    assert upstreams.record_announcement('i-2', _body(200, 1))
    assert _states(upstreams) == {'i-2': 'ready'}
    return clock, upstreams


def test_upstream_that_goes_on_returns_to_its_address():
    """Guards against an upstream that another writer ends: review case 10.

    Any announcement with its service and a later start did that for good.
    """
    clock, upstreams = _at_one_address()
    assert not upstreams.record_announcement('i-1', _body(100, 6))
    clock.now_s += 1.5
    assert upstreams.record_announcement('i-1', _body(100, 7))
    assert _states(upstreams) == {'i-1': 'ready', 'i-2': 'ready'}
    # Each announces itself on without displacing the other.
    clock.now_s += 1.5
    assert upstreams.record_announcement('i-2', _body(200, 2))
    assert upstreams.record_announcement('i-1', _body(100, 8))
    clock.now_s += TTL_MS / 1000 - 1
    assert upstreams.record_announcement('i-1', _body(100, 9))
    clock.now_s += 2
    upstreams.expire()
    assert _states(upstreams) == {'i-1': 'ready'}


def test_late_announcements_do_not_bring_a_successor_down():
    """Guards against calls to an upstream whose address another one took.

    Announcements that a cut has held up arrive together.
    """
    clock, upstreams = _at_one_address()
    for sequence in (6, 7, 8):
        assert not upstreams.record_announcement('i-1', _body(100, sequence))
        clock.now_s += 0.1
    clock.now_s += 5
    assert not upstreams.record_announcement('i-1', _body(100, 8))
    assert _states(upstreams) == {'i-2': 'ready'}


def test_address_that_is_another_upstream_refutes_its_successor():
    """Guards against calls to a successor that is not there: case 10."""
    clock, upstreams = _at_one_address()
    upstreams.refute('i-2')
    assert not _states(upstreams)
    clock.now_s += 1.5
    assert upstreams.record_announcement('i-1', _body(100, 6))
    assert not upstreams.record_announcement('i-2', _body(200, 2))
    assert _states(upstreams) == {'i-1': 'ready'}


def test_successor_returns_if_nobody_else_is_there():
    """Guards against a successor that its dying predecessor ends."""
    clock, upstreams = _at_one_address()
    upstreams.refute('i-2')
    clock.now_s += 1.5
    assert upstreams.record_announcement('i-2', _body(200, 2))
    assert _states(upstreams) == {'i-2': 'ready'}


@params('i-1', 'i-9')
def test_answer_of_an_address_ends_no_other_upstream(name):
    """Guards against a stray 421 that ends an upstream without a rival."""
    upstreams = Upstreams(Kernel(), TTL_MS, _Clock())
    upstreams.record_announcement('i-1', _body(100, 5))
    upstreams.refute(name)
    assert _states(upstreams) == {'i-1': 'ready'}


def test_earlier_incarnation_returns_when_the_later_one_is_silent():
    """Guards against another writer that ends an upstream by its own name."""
    clock = _Clock()
    upstreams = Upstreams(Kernel(), TTL_MS, clock)
    upstreams.record_announcement('i-1', _body(100, 5))
    assert upstreams.record_announcement('i-1', _body(200, 1))
    assert not upstreams.record_announcement('i-1', _body(100, 6))
    clock.now_s += TTL_MS / 1000 + 1
    upstreams.expire()
    assert not _states(upstreams)
    assert upstreams.record_announcement('i-1', _body(100, 7))
    upstreams.remove('i-1', 100)
    clock.now_s += TTL_MS / 1000 + 1
    assert not upstreams.record_announcement('i-1', _body(100, 8))
