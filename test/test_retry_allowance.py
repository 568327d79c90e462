"""Retries of a whole fleet after an upstream fault that hits all calls."""

import random
from itertools import product

from nose2.tools import params

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call
from waxwingsaddle.documents import service_entry
from waxwingsaddle.retry import FailedAttempt, RetryPolicy
from waxwingsaddle.retry_allowance import RetryAllowance
from waxwingsaddle.util.outcome import Outcome

READ = Call('', 'r', 'short', 'normal', is_idempotent=True, deadline_s=1)
FAILED = FailedAttempt(READ, Outcome.NOT_RUN, 1)
SERVICE = config_models.Service(**service_entry('/health', 130))
# Bound of the deployments: this share of the calls, and a number that grows
# with the fleet.
BOUND_SHARE = 0.2


def _bound(hosts):
    return 2 * hosts + 40


def _fleet(hosts, known_hosts=None):
    allowance = RetryAllowance(_bound(hosts), lambda: known_hosts or hosts)
    return [RetryPolicy(SERVICE, float, allowance) for _ in range(hosts)]


@params(*product((1, 30, 190, 1200), (0.3, 1, 20), (0.3, 0.55, 1)))
def test_burst_of_a_fleet_stays_within_its_bound(hosts, calls, failed_share):
    """Guards against a burst that is small for a node and large for a fleet.

    All nodes have saved what they can when the fault begins.

    Args:
        hosts: Number of nodes.
        calls: Calls of each node in the window of the bound.
        failed_share: Share of attempts that the upstreams refuse.
    """
    rng = random.Random(hosts)
    fleet = _fleet(hosts)
    for node in fleet:
        for _ in range(200):
            node.record_call()
    sent = round(hosts * calls)
    retries = sum(
        _run_call(rng.choice(fleet), failed_share, rng) for _ in range(sent)
    )
    assert retries <= BOUND_SHARE * sent + _bound(hosts), retries


def _run_call(node, failed_share, rng):
    node.record_call()
    is_failed = rng.random() < failed_share
    return is_failed and node.may_retry(FAILED)


def test_small_burst_still_retries():
    """Guards against an allowance that leaves no retries in a large fleet."""
    node = _fleet(1200)[0]
    for _ in range(200):
        node.record_call()
    assert node.may_retry(FAILED)


def test_cut_off_zone_keeps_its_share():
    """Guards against a zone that takes the allowance of those it lost."""
    known = [190]
    allowance = RetryAllowance(420, lambda: known[0])
    before = allowance.burst_tokens()
    known[0] = 38
    assert allowance.burst_tokens() == before
