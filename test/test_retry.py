"""Rules and budgets of retries and hedges."""

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call
from waxwingsaddle.hedging import HedgingPolicy
from waxwingsaddle.retry import FailedAttempt, RetryPolicy
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.util.quantile import Quantile

READ = Call('', 'r', 'short', 'normal', is_idempotent=True, deadline_s=1)
BOOK = replace(READ, is_idempotent=False, priority='high')
SERVICE = config_models.Service()


def _retries(now_s=0):
    retry = RetryPolicy(SERVICE, lambda: now_s)
    for _ in range(200):
        retry.record_call()
    return retry


@params(
    (FailedAttempt(READ, Outcome.NOT_RUN, 1), True),
    (FailedAttempt(READ, Outcome.UNKNOWN, 1), True),
    (FailedAttempt(BOOK, Outcome.NOT_RUN, 1), True),
    (FailedAttempt(BOOK, Outcome.UNKNOWN, 1), False),
    (FailedAttempt(READ, Outcome.RAN, 1), False),
    (FailedAttempt(READ, Outcome.CANCELLED, 1), False),
    (FailedAttempt(READ, Outcome.NOT_RUN, 3), False),
    (FailedAttempt(READ, Outcome.NOT_RUN, 1, was_retried=True), False),
    (FailedAttempt(READ, Outcome.NOT_RUN, 1, has_alternative=False), False),
)
def test_only_safe_attempts_are_repeated(attempt, expected):
    """Guards against bookings that run twice, and retries at every layer."""
    assert _retries().may_retry(attempt) is expected
    assert not _retries(now_s=2).may_retry(attempt), 'past the deadline'


def test_free_retries_do_not_need_the_budget():
    """Guards against calls lost with a zone although upstreams are left."""
    retry = RetryPolicy(config_models.Service(retry_percent=0), float)
    attempt = FailedAttempt(READ, Outcome.NOT_RUN, 1, is_free=True)
    assert retry.may_retry(attempt)
    assert not retry.may_retry(replace(attempt, number=6))
    assert not retry.may_retry(replace(attempt, was_retried=True))
    assert not retry.may_retry(replace(attempt, is_free=False))


def test_low_priority_retries_leave_tokens_for_bookings():
    """Guards against a booking without a retry since reads used the budget."""
    retry = _retries()
    low = FailedAttempt(replace(READ, priority='low'), Outcome.NOT_RUN, 1)
    retries_made = sum(retry.may_retry(low) for _ in range(100))
    assert 0 < retries_made < 10
    assert retry.may_retry(FailedAttempt(BOOK, Outcome.NOT_RUN, 1))


@given(st.integers(0, 100), st.integers(1, 2000))
def test_extra_attempts_stay_within_the_budget(percent, calls):
    """Guards against a retry storm while a service is down."""
    retry = RetryPolicy(config_models.Service(retry_percent=percent), float)
    extra = 0
    for _ in range(calls):
        retry.record_call()
        number = 1
        while retry.may_retry(FailedAttempt(BOOK, Outcome.NOT_RUN, number)):
            number += 1
            extra += 1
    assert extra <= 5 + calls * percent / 100


def _attempts_at(depth, layers):
    """Sends one call down the layers; the lowest one always fails.

    Returns:
        The attempts at the lowest layer, and whether a layer has retried.
    """
    if depth == len(layers):
        return 1, False
    retry = layers[depth]
    retry.record_call()
    attempts, was_retried = _attempts_at(depth + 1, layers)
    number = 1
    while retry.may_retry(
        FailedAttempt(BOOK, Outcome.NOT_RUN, number, was_retried=was_retried),
    ):
        number += 1
        more, was_retried = _attempts_at(depth + 1, layers)
        attempts += more
    return attempts, True


def test_attempts_stay_low_eight_layers_above_a_dead_service():
    """Guards against retries that multiply from layer to layer."""
    layers = [RetryPolicy(SERVICE, float) for _ in range(8)]
    attempts = sum(_attempts_at(0, layers)[0] for _ in range(2000))
    assert attempts < 2400


def _with_learned_delay(hedging, count=400):
    rng = random.Random(1)
    for _ in range(count):
        hedging.delay_s(READ)
        hedging.observe('r', rng.uniform(0.01, 0.02))
    return hedging


def test_hedge_comes_after_the_learned_quantile():
    """Guards against hedges of calls that are not late, and missing hedges."""
    hedging = HedgingPolicy(SERVICE)
    assert hedging.delay_s(READ) is None
    _with_learned_delay(hedging)
    assert 18 < 1000 * hedging.delay_s(READ) < 22
    assert hedging.delay_s(BOOK) is None


def test_hedges_stay_within_their_percent():
    """Guards against hedges that double the load."""
    hedging = _with_learned_delay(HedgingPolicy(SERVICE))
    fired = 0
    for _ in range(2000):
        hedging.delay_s(READ)
        fired += hedging.may_hedge()
    # 5 % of the calls, and at most 30 tokens saved before.
    assert 100 <= fired <= 130


def test_spent_hedges_come_later():
    """Guards against a budget used up by the usual tail before a slowdown."""
    hedging = _with_learned_delay(HedgingPolicy(SERVICE))
    early_s = hedging.delay_s(READ)
    while hedging.may_hedge():
        hedging.observe('r', 0.01)
    assert hedging.delay_s(READ) > 1.5 * early_s


def test_hedges_stop_when_everything_is_slow():
    """Guards against hedges that add load to a service that is overloaded."""
    hedging = _with_learned_delay(HedgingPolicy(SERVICE))
    for _ in range(60):
        hedging.delay_s(READ)
        hedging.observe('r', 2)
    assert not hedging.may_hedge()


def test_no_hedges_without_a_budget():
    """Guards against hedges although the operator has disabled them."""
    hedging = _with_learned_delay(
        HedgingPolicy(config_models.Service(hedge_percent=0))
    )
    assert not hedging.may_hedge()


@given(st.sampled_from((0.5, 0.9, 0.97)), st.floats(0.001, 100))
def test_quantile_is_learned_at_any_scale(share, scale):
    """Guards against hedge delays that fit one scale of run times only."""
    rng = random.Random(1)
    quantile = Quantile(share)
    for _ in range(2000):
        quantile.observe(scale * rng.uniform(1, 2))
    error_percent = 100 * (quantile.estimate / scale - 1 - share)
    assert abs(error_percent) < 20
