"""Claimant of idempotency keys, and the outbox of outcomes."""

import random

from nose2.tools import params

from test.claim_parts import HOSTS, KEY_DIGEST, Clock, claim_of
from waxwingsaddle import claims
from waxwingsaddle.claim_outbox import ClaimOutbox
from waxwingsaddle.claimant import (
    Claimant,
    ClaimPolicy,
    ClaimTarget,
    Pause,
    Peer,
)

POLICY = ClaimPolicy(window_s=0.5, grace_s=0, pause_s=0.1, max_bytes=10_000)


def _claimant(clock):
    peers = tuple(Peer(host, host) for host in HOSTS)
    return Claimant(POLICY, lambda *_: peers, clock, random.Random(1))


def _run_claim(decisions, elapsed_s=0, deadline_s=0.9):
    """Runs a claim against fixed decisions of the keepers, by host."""
    clock = Clock()
    target = ClaimTarget(KEY_DIGEST, 'z', 60_000, deadline_s)
    steps = _claimant(clock).claim(target)
    replies = None
    while True:
        try:
            step = steps.send(replies)
        except StopIteration as stop:
            return stop.value
        if isinstance(step, Pause):
            clock.now_s += step.pause_s
            replies = None
            continue
        clock.now_s += elapsed_s
        replies = {
            host: _reply(step.message, decision)
            for host, decision in decisions.items()
        }


def _reply(message, decision):
    if isinstance(message, claims.ClaimRelease):
        return claims.ClaimKept(1)
    return claims.ClaimReply(decision, b'ok' if decision == 'done' else None)


@params(
    ({'a': 'granted', 'b': 'granted'}, 0, claims.Granted),
    ({'a': 'granted', 'b': 'granted', 'c': 'claimed'}, 0, claims.InDoubt),
    ({'a': 'granted'}, 0, claims.InDoubt),
    ({'a': 'granted', 'b': 'granted'}, 0.6, claims.InDoubt),
    ({'a': 'granted', 'b': 'granted', 'c': 'done'}, 0, claims.Stored),
    ({'a': 'full', 'b': 'granted'}, 0, claims.Absent),
    ({'a': 'full', 'b': 'syncing'}, 0, claims.InDoubt),
    ({'a': 'full', 'b': 'full', 'c': 'claimed'}, 0, claims.InDoubt),
    ({}, 0, claims.InDoubt),
)
def test_replies_decide_the_claim(decisions, elapsed_s, expected):
    """Guards against a granted claim that the replies do not justify.

    Too few or late grants do not suffice, nor do grants while another keeper
    reports a claim or an outcome.
    """
    outcome = _run_claim(decisions, elapsed_s)
    assert isinstance(outcome, expected), outcome


def test_outcome_is_sent_until_each_keeper_confirms():
    """Guards against an outcome that reaches only some of the keepers."""
    clock = Clock()
    peers = tuple(Peer(host, host) for host in HOSTS)
    outbox = ClaimOutbox(lambda *_: peers, 60, clock)
    number = outbox.enqueue(claim_of(claims.ClaimState.DONE), 'z')
    outbox.confirm(number, 'a')
    _, message, unconfirmed = outbox.due()[0]
    assert isinstance(message, claims.ClaimDone)
    assert [peer.host for peer in unconfirmed] == ['b', 'c']
    outbox.confirm(number, 'b')
    outbox.confirm(number, 'c')
    assert not outbox.due()
    outbox.enqueue(claim_of(claims.ClaimState.RELEASED), 'z')
    clock.now_s = 61
    assert not outbox.due()
