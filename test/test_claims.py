"""Claims of idempotency keys: placement, stores, simulated random runs."""

import random
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from test import claim_simulation
from test.claim_parts import HOSTS, KEY_DIGEST, Clock, claim_of
from test.claim_zone import few_buckets
from waxwingsaddle import claims
from waxwingsaddle.claim_store import ClaimStore
from waxwingsaddle.claim_table import CLAIM_BYTES, ClaimTable
from waxwingsaddle.placement import BUCKETS, Placement, home_zone


def _make_store(host, clock, members=HOSTS, max_bytes=10_000):
    store = ClaimStore(host, ClaimTable(max_bytes, clock), 0.5, clock, host)
    store.set_members(members)
    return store


def _settle(*stores):
    for store in stores:
        for host, epoch, sync in store.due_sync_requests():
            other = next(peer for peer in stores if peer.host == host)
            reply = other.serve_sync(sync)
            store.apply_sync_reply(host, epoch, reply)


def _settled(*hosts, members=HOSTS):
    clock = Clock()
    stores = [_make_store(host, clock, members) for host in hosts]
    clock.now_s = 1
    _settle(*stores)
    assert all(store.is_settled for store in stores)
    return clock, *stores


def _request(claim_id='x', keepers=HOSTS):
    return claims.ClaimRequest(KEY_DIGEST, claim_id, keepers, 60_000)


@params(*range(0, 40, 4))
def test_random_runs_keep_all_guarantees(first_seed):
    """Guards against calls that run twice or get a wrong outcome or answer.

    Simulates kills, restarts, lost messages and changes of membership.
    """
    with few_buckets():
        for seed in range(first_seed, first_seed + 4):
            callers = claim_simulation.run(seed, keys=40, length_s=40)
            violations = list(callers.violations())
            assert not violations, (seed, violations)
            outcomes = [attempt.outcome for attempt in callers.attempts]
            assert outcomes.count('ran') > len(outcomes) / 2, seed


@given(st.permutations(range(4)), st.lists(st.integers(0, 3), max_size=6))
def test_merge_ignores_order_and_copies(order, copies):
    """Guards against a late copy of a claim that overwrites its outcome."""
    states = [
        claim_of(claims.ClaimState.CLAIMED),
        claim_of(claims.ClaimState.DONE),
        claim_of(claims.ClaimState.DONE, answer=b'ok'),
        claim_of(claims.ClaimState.RELEASED),
    ]
    current = None
    for index in (*order, *copies):
        current = claims.latest_state(current, states[index])
    assert current == states[2]


@given(
    st.sets(st.sampled_from('abcdefgh'), min_size=1),
    st.sets(st.sampled_from('abcdefgh')),
)
def test_placement_follows_membership(before, after):
    """Guards against an updated placement that differs from a new one."""
    old = Placement(before)
    kept = [old.keepers(bucket) for bucket in range(40)]
    changed = old.with_hosts(after)
    for bucket in range(40):
        keepers = changed.keepers(bucket)
        assert keepers == Placement(after).keepers(bucket)
        if set(kept[bucket]) <= after and after <= before:
            assert keepers == kept[bucket]


def test_buckets_spread_over_hosts():
    """Guards against a hash that assigns most buckets to few hosts."""
    placement = Placement(f'host-{number}' for number in range(50))
    shares = dict.fromkeys(placement.hosts, 0)
    for bucket in range(BUCKETS):
        for host in placement.keepers(bucket):
            shares[host] += 1
    mean = BUCKETS * 3 / 50
    assert max(shares.values()) < 2 * mean, shares
    assert min(shares.values()) > mean / 2, shares


def test_home_zone_is_named_or_hashed():
    """Guards against nodes that compute different home zones for a key."""
    zones = ('north', 'south')
    assert home_zone('south.1', zones) == 'south'
    homes = {home_zone(f'key-{number}', zones) for number in range(50)}
    assert homes == set(zones)
    assert home_zone('east.1', zones) == home_zone('east.1', ('south', 'north'))


def test_second_claim_is_refused_until_release():
    """Guards against two granted claims of one key."""
    _, store, *_ = _settled(*HOSTS)
    assert store.claim(_request('x')).decision == 'granted'
    assert store.claim(_request('x')).decision == 'granted'
    assert store.claim(_request('y')).decision == 'claimed'
    store.merge([claim_of(claims.ClaimState.RELEASED)])
    assert store.claim(_request('y')).decision == 'granted'
    # A late copy of the first request must not be granted again.
    assert store.claim(_request('x')).decision == 'claimed'


def test_release_that_overtakes_its_request_holds():
    """Guards against a claim request that arrives after its release.

    Granting it would block the key until its retention ends.
    """
    _, store, *_ = _settled(*HOSTS)
    store.merge([claim_of(claims.ClaimState.RELEASED)])
    assert store.claim(_request('x')).decision == 'claimed'
    assert store.claim(_request('y')).decision == 'granted'


def test_restarted_keeper_syncs_before_it_grants():
    """Guards against a restarted keeper that grants an already claimed key.

    A keeper loses all claims with its process. It grants only after the claim
    window is over and it has synced with the other keepers.
    """
    clock, first, second, third = _settled(*HOSTS)
    first.claim(_request('x'))
    second.claim(_request('x'))
    restarted = _make_store('a', clock)
    assert restarted.claim(_request('y')).decision == 'syncing'
    _settle(restarted, second, third)
    assert not restarted.is_settled, 'settled within the window'
    clock.now_s += 1
    _settle(restarted, second, third)
    assert restarted.is_settled
    assert restarted.claim(_request('y')).decision == 'claimed'


def test_new_keeper_syncs_with_every_member():
    """Guards against new keepers that lack claims of the previous ones."""
    members = ('a', 'b', 'c', 'd')
    _, *stores = _settled(*members, members=members)
    asked = stores[0].keepers(KEY_DIGEST)
    asked_stores = [peer for peer in stores if peer.host in asked]
    newcomer = next(peer for peer in stores if peer.host not in asked)
    for asked_store in asked_stores[:2]:
        assert asked_store.claim(_request('x', asked)).decision == 'granted'
    left = set(members) - {asked[0]}
    remaining = [peer for peer in stores if peer.host != asked[0]]
    newcomer.set_members(left)
    request = _request('y', newcomer.keepers(KEY_DIGEST))
    assert newcomer.claim(request).decision == 'syncing'
    _settle(*remaining)
    assert not newcomer.is_settled, 'the others know another membership'
    for store in remaining:
        store.set_members(left)
    _settle(*remaining)
    assert newcomer.claim(request).decision == 'claimed'


def test_reply_from_before_a_change_does_not_settle():
    """Guards against a sync reply from before a change of membership.

    The other host may have granted claims under other keepers since.
    """
    _, _, second, third = _settled(*HOSTS)
    second.set_members(('b', 'c'))
    exchanges = second.due_sync_requests()
    third.set_members(('b', 'c'))
    replies = [
        (host, epoch, third.serve_sync(sync)) for host, epoch, sync in exchanges
    ]
    second.set_members(HOSTS)
    second.set_members(('b', 'c'))
    for reply in replies:
        second.apply_sync_reply(*reply)
    assert not second.is_settled


def test_request_to_other_keepers_is_redirected():
    """Guards against grants to a claimant that asks different keepers."""
    _, store, *_ = _settled(*HOSTS)
    reply = store.claim(_request('x', ('a', 'b', 'd')))
    assert reply.decision == 'moved'
    assert {host for host, _ in reply.keepers} == set(HOSTS)


def test_leaving_keeper_copies_and_stops_granting():
    """Guards against claims that are lost in a planned restart."""
    members = ('a', 'b', 'c', 'd')
    _, *stores = _settled(*members, members=members)
    asked = stores[0].keepers(KEY_DIGEST)
    leaving = next(peer for peer in stores if peer.host == asked[0])
    leaving.claim(_request('x', asked))
    copies = dict(leaving.stop_granting())
    assert set(copies) == set(members) - {leaving.host}
    assert all(batch[0].claim_id == 'x' for batch in copies.values())
    leaving.merge([claim_of(claims.ClaimState.RELEASED)])
    assert leaving.claim(_request('y', asked)).decision == 'syncing'


def test_full_keeper_refuses_new_keys_only():
    """Guards against dropping an existing claim when the store is full."""
    clock = Clock()
    store = _make_store('a', clock, ('a',), max_bytes=CLAIM_BYTES)
    clock.now_s = 1
    assert not store.due_sync_requests()
    assert store.claim(_request('x', ('a',))).decision == 'granted'
    other = claims.ClaimRequest(b'0' * 16, 'z', ('a',), 60_000)
    assert store.claim(other).decision == 'full'
    store.merge([claim_of(claims.ClaimState.DONE, answer=b'ok')])
    assert store.claim(_request('y', ('a',))).answer == b'ok'


def test_pages_of_changes_are_complete():
    """Guards against a claim that is missing from all pages of a sync."""
    table = ClaimTable(10**6, Clock())
    expected_keys = {f'{number:016d}'.encode() for number in range(25)}
    for key_digest in sorted(expected_keys):
        table.merge(
            claims.Claim(key_digest, 'x', claims.ClaimState.CLAIMED, 1000)
        )
    read_keys, after, has_more = set(), 0, True
    while has_more:
        page, after, has_more = table.changes(range(BUCKETS), after, 10)
        read_keys |= {claim.key_digest for claim in page}
    assert read_keys == expected_keys


def test_retention_ends():
    """Guards against claims that are removed too early or never."""
    clock = Clock()
    table = ClaimTable(10**6, clock)
    table.merge(claim_of(claims.ClaimState.DONE))
    clock.now_s = 59
    for _ in range(64):
        table.expire()
    assert table.find_deciding(KEY_DIGEST, 'y')
    clock.now_s = 61
    assert table.find_deciding(KEY_DIGEST, 'y') is None
    for _ in range(64):
        table.expire()
    assert not table.size_bytes
    assert not list(table)


def test_counted_size_covers_the_memory():
    """Guards against memory that exceeds the size that the table counts."""
    rng = random.Random(1)
    table = ClaimTable(10**9, Clock())
    tracemalloc.start()
    for _ in range(5000):
        claim_id = f'{rng.getrandbits(64):016x}'
        key_digest = rng.randbytes(16)
        table.merge(
            claims.Claim(key_digest, claim_id, claims.ClaimState.CLAIMED, 1000),
        )
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used_bytes <= table.size_bytes, used_bytes / 5000
