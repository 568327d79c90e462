"""Claims of idempotency keys: placement, keepers, random runs."""

import random
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from test import claim_simulation
from test.claim_parts import HOSTS, PLACE, Clock, claim_of
from test.claim_zone import few_buckets
from waxwingsaddle import claims
from waxwingsaddle.claim_store import ClaimStore
from waxwingsaddle.claim_table import CLAIM_BYTES, ClaimTable
from waxwingsaddle.placement import BUCKETS, Placement, home_zone


def _keeper(host, clock, members=HOSTS, max_bytes=10_000):
    keeper = ClaimStore(host, ClaimTable(max_bytes, clock), 0.5, clock, host)
    keeper.set_members(members)
    return keeper


def _settle(*keepers):
    for keeper in keepers:
        for host, epoch, sync in keeper.due_exchanges():
            other = next(one for one in keepers if one.host == host)
            reply = other.answer_sync(sync)
            keeper.take_exchange(host, epoch, reply)


def _settled(*hosts, members=HOSTS):
    clock = Clock()
    keepers = [_keeper(host, clock, members) for host in hosts]
    clock.now_s = 1
    _settle(*keepers)
    assert all(keeper.is_settled for keeper in keepers)
    return clock, *keepers


def _request(claim_id='x', keepers=HOSTS):
    return claims.ClaimRequest(PLACE, claim_id, keepers, 60_000)


@params(*range(0, 40, 4))
def test_random_runs_keep_all_promises(first_seed):
    """Guards against double runs, false not-run and wrong stored answers."""
    with few_buckets():
        for seed in range(first_seed, first_seed + 4):
            callers = claim_simulation.run(seed, keys=40, length_s=40)
            faults = list(callers.faults())
            assert not faults, (seed, faults)
            told = [attempt.told for attempt in callers.attempts]
            assert told.count('ran') > len(told) / 2, seed


@given(st.permutations(range(4)), st.lists(st.integers(0, 3), max_size=6))
def test_merge_ignores_order_and_copies(order, copies):
    """Guards against a late copy that takes back an outcome."""
    states = [
        claim_of(claims.ClaimState.CLAIMED),
        claim_of(claims.ClaimState.DONE),
        claim_of(claims.ClaimState.DONE, answer=b'ok'),
        claim_of(claims.ClaimState.RELEASED),
    ]
    merged = None
    for index in (*order, *copies):
        merged = claims.merged(merged, states[index])
    assert merged == states[2]


@given(
    st.sets(st.sampled_from('abcdefgh'), min_size=1),
    st.sets(st.sampled_from('abcdefgh')),
)
def test_placement_follows_membership(before, after):
    """Guards against a changed placement that differs from a new one."""
    old = Placement(before)
    kept = [old.keepers(bucket) for bucket in range(40)]
    changed = old.changed_to(after)
    for bucket in range(40):
        keepers = changed.keepers(bucket)
        assert keepers == Placement(after).keepers(bucket)
        if set(kept[bucket]) <= after and after <= before:
            assert keepers == kept[bucket]


def test_buckets_spread_over_hosts():
    """Guards against a hash that burdens few hosts."""
    placement = Placement(f'host-{number}' for number in range(50))
    shares = dict.fromkeys(placement.hosts, 0)
    for bucket in range(BUCKETS):
        for host in placement.keepers(bucket):
            shares[host] += 1
    mean = BUCKETS * 3 / 50
    assert max(shares.values()) < 2 * mean, shares
    assert min(shares.values()) > mean / 2, shares


def test_home_zone_is_named_or_hashed():
    """Guards against keys that nodes home differently."""
    zones = ('north', 'south')
    assert home_zone('south.1', zones) == 'south'
    homes = {home_zone(f'key-{number}', zones) for number in range(50)}
    assert homes == set(zones)
    assert home_zone('east.1', zones) == home_zone('east.1', ('south', 'north'))


def test_second_claim_is_vetoed_until_release():
    """Guards against two claims of one key."""
    _, keeper, *_ = _settled(*HOSTS)
    assert keeper.claim(_request('x')).verdict == 'granted'
    assert keeper.claim(_request('x')).verdict == 'granted'
    assert keeper.claim(_request('y')).verdict == 'claimed'
    keeper.keep([claim_of(claims.ClaimState.RELEASED)])
    assert keeper.claim(_request('y')).verdict == 'granted'
    # A late copy of the first request must not stand again.
    assert keeper.claim(_request('x')).verdict == 'claimed'


def test_release_that_overtakes_its_request_holds():
    """Guards against a key blocked by a request that comes late."""
    _, keeper, *_ = _settled(*HOSTS)
    keeper.keep([claim_of(claims.ClaimState.RELEASED)])
    assert keeper.claim(_request('x')).verdict == 'claimed'
    assert keeper.claim(_request('y')).verdict == 'granted'


def test_restarted_keeper_learns_before_it_grants():
    """Guards against a keeper with empty memory that grants a claimed key."""
    clock, first, second, third = _settled(*HOSTS)
    first.claim(_request('x'))
    second.claim(_request('x'))
    again = _keeper('a', clock)
    assert again.claim(_request('y')).verdict == 'syncing'
    _settle(again, second, third)
    assert not again.is_settled, 'settled within the window'
    clock.now_s += 1
    _settle(again, second, third)
    assert again.is_settled
    assert again.claim(_request('y')).verdict == 'claimed'


def test_newcomer_learns_from_every_member():
    """Guards against a new keeper set that knows nothing of the old one."""
    members = ('a', 'b', 'c', 'd')
    _, *keepers = _settled(*members, members=members)
    asked = keepers[0].keepers(PLACE)
    holders = [one for one in keepers if one.host in asked]
    newcomer = next(one for one in keepers if one.host not in asked)
    for holder in holders[:2]:
        assert holder.claim(_request('x', asked)).verdict == 'granted'
    left = set(members) - {asked[0]}
    rest = [one for one in keepers if one.host != asked[0]]
    newcomer.set_members(left)
    request = _request('y', newcomer.keepers(PLACE))
    assert newcomer.claim(request).verdict == 'syncing'
    _settle(*rest)
    assert not newcomer.is_settled, 'the others see another membership'
    for keeper in rest:
        keeper.set_members(left)
    _settle(*rest)
    assert newcomer.claim(request).verdict == 'claimed'


def test_reply_from_before_a_change_does_not_settle():
    """Guards against counting what a host said under other keepers."""
    _, _, second, third = _settled(*HOSTS)
    second.set_members(('b', 'c'))
    exchanges = second.due_exchanges()
    third.set_members(('b', 'c'))
    replies = [
        (host, epoch, third.answer_sync(sync))
        for host, epoch, sync in exchanges
    ]
    second.set_members(HOSTS)
    second.set_members(('b', 'c'))
    for reply in replies:
        second.take_exchange(*reply)
    assert not second.is_settled


def test_other_keepers_are_told_not_granted():
    """Guards against grants to a claimant that asks other hosts."""
    _, keeper, *_ = _settled(*HOSTS)
    reply = keeper.claim(_request('x', ('a', 'b', 'd')))
    assert reply.verdict == 'moved'
    assert {host for host, _ in reply.keepers} == set(HOSTS)


def test_leaving_keeper_copies_and_stops_granting():
    """Guards against claims lost by a planned restart."""
    members = ('a', 'b', 'c', 'd')
    _, *keepers = _settled(*members, members=members)
    asked = keepers[0].keepers(PLACE)
    leaving = next(one for one in keepers if one.host == asked[0])
    leaving.claim(_request('x', asked))
    copies = dict(leaving.leave())
    assert set(copies) == set(members) - {leaving.host}
    assert all(part[0].claim_id == 'x' for part in copies.values())
    leaving.keep([claim_of(claims.ClaimState.RELEASED)])
    assert leaving.claim(_request('y', asked)).verdict == 'syncing'


def test_full_keeper_refuses_new_keys_only():
    """Guards against forgetting a claim when memory is short."""
    clock = Clock()
    keeper = _keeper('a', clock, ('a',), max_bytes=CLAIM_BYTES)
    clock.now_s = 1
    assert not keeper.due_exchanges()
    assert keeper.claim(_request('x', ('a',))).verdict == 'granted'
    other = claims.ClaimRequest(b'0' * 16, 'z', ('a',), 60_000)
    assert keeper.claim(other).verdict == 'full'
    keeper.keep([claim_of(claims.ClaimState.DONE, answer=b'ok')])
    assert keeper.claim(_request('y', ('a',))).answer == b'ok'


def test_pages_of_changes_are_complete():
    """Guards against a claim that no page of an exchange carries."""
    table = ClaimTable(10**6, Clock())
    wanted = {f'{number:016d}'.encode() for number in range(25)}
    for place in sorted(wanted):
        table.merge(claims.Claim(place, 'x', claims.ClaimState.CLAIMED, 1000))
    got, after, has_more = set(), 0, True
    while has_more:
        page, after, has_more = table.changes(range(BUCKETS), after, 10)
        got |= {claim.place for claim in page}
    assert got == wanted


def test_retention_ends():
    """Guards against claims that are never forgotten, or too soon."""
    clock = Clock()
    table = ClaimTable(10**6, clock)
    table.merge(claim_of(claims.ClaimState.DONE))
    clock.now_s = 59
    for _ in range(64):
        table.expire()
    assert table.status(PLACE, 'y')
    clock.now_s = 61
    assert table.status(PLACE, 'y') is None
    for _ in range(64):
        table.expire()
    assert not table.size_bytes
    assert not list(table)


def test_counted_size_covers_the_memory():
    """Guards against a size bound that lets memory grow beyond it."""
    rng = random.Random(1)
    table = ClaimTable(10**9, Clock())
    tracemalloc.start()
    for _ in range(5000):
        claim_id = f'{rng.getrandbits(64):016x}'
        place = rng.randbytes(16)
        table.merge(
            claims.Claim(place, claim_id, claims.ClaimState.CLAIMED, 1000),
        )
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used_bytes <= table.size_bytes, used_bytes / 5000
