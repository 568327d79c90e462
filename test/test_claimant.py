"""Claimant of idempotency keys, and its outcomes on their way to keepers."""

import random

from nose2.tools import params

from test.claim_parts import HOSTS, PLACE, Clock, claim_of
from waxwingsaddle import claims
from waxwingsaddle.claim_outbox import ClaimOutbox
from waxwingsaddle.claimant import Claimant, ClaimPolicy, Pause, Peer, Wanted

POLICY = ClaimPolicy(window_s=0.5, grace_s=0, pause_s=0.1, max_bytes=10_000)


def _claimant(clock):
    peers = tuple(Peer(host, host) for host in HOSTS)
    return Claimant(POLICY, lambda *_: peers, clock, random.Random(1))


def _answer(verdicts, takes_s=0, deadline_s=0.9):
    """Runs one claim against fixed verdicts by host."""
    clock = Clock()
    wanted = Wanted(PLACE, 'z', 60_000, deadline_s)
    steps = _claimant(clock).claim(wanted)
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
        clock.now_s += takes_s
        replies = {
            host: _reply(step.message, verdict)
            for host, verdict in verdicts.items()
        }


def _reply(message, verdict):
    if isinstance(message, claims.ClaimRelease):
        return claims.ClaimKept(1)
    return claims.ClaimReply(verdict, b'ok' if verdict == 'done' else None)


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
def test_replies_decide_the_claim(verdicts, takes_s, expected):
    """Guards against a claim on too few, late or contradicted grants."""
    outcome = _answer(verdicts, takes_s)
    assert isinstance(outcome, expected), outcome


def test_outcome_is_sent_until_each_keeper_confirms():
    """Guards against an outcome that reaches one keeper only."""
    clock = Clock()
    peers = tuple(Peer(host, host) for host in HOSTS)
    outbox = ClaimOutbox(lambda *_: peers, 60, clock)
    number = outbox.put(claim_of(claims.ClaimState.DONE), 'z')
    outbox.confirm(number, 'a')
    _, message, rest = outbox.due()[0]
    assert isinstance(message, claims.ClaimDone)
    assert [peer.host for peer in rest] == ['b', 'c']
    outbox.confirm(number, 'b')
    outbox.confirm(number, 'c')
    assert not outbox.due()
    outbox.put(claim_of(claims.ClaimState.RELEASED), 'z')
    clock.now_s = 61
    assert not outbox.due()
