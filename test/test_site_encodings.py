"""Deltas, wholes and their application on a node."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from test.distribution_fakes import trees
from waxwingsaddle.configuration_state import ApplyOutcome, ConfigurationState
from waxwingsaddle.node_messages import ConfigDelta, decode_from_control
from waxwingsaddle.site_encodings import SiteEncodings

SITE = 'north'


def site_at(version, held=None):
    """Returns a site that accepted versions 1 to `version` with deltas.

    Args:
        version: Last version.
        held: A node's configuration that takes version 1.
    """
    site = SiteEncodings(SITE, 64)
    for number in range(1, version + 1):
        site.accept(number, trees(number, timeout_ms=number)[SITE])
        if held is not None and number == 1:
            receive(held, site)
    return site


def receive(held, site):
    """Gives a node the message for it, and returns kind and outcome."""
    message = site.message_for(held.version, held.short_digest)
    header = decode_from_control(message.frames[0])
    if isinstance(header, ConfigDelta):
        return message.kind, held.apply_delta(header)
    return message.kind, held.apply_full(
        header.version,
        header.digest,
        message.frames[1],
    )


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(1, 9)), max_size=6))
def test_delta_equals_whole(edits):
    """Guards against a node that ends with another tree than the accepted."""
    site = SiteEncodings(SITE, 64)
    held = ConfigurationState(SITE)
    for version, (services, timeout_ms) in enumerate(edits, 1):
        tree = trees(version, services=services, timeout_ms=timeout_ms)[SITE]
        site.accept(version, tree)
        assert receive(held, site)[1] is ApplyOutcome.IN_FORCE
        assert held.snapshot.tree == tree
        assert held.snapshot.version == version


def test_node_some_versions_behind_gets_a_delta():
    """Guards against wholes where a few steps are shorter."""
    held = ConfigurationState(SITE)
    site = SiteEncodings(SITE, 64)
    for version in (1, 2, 3):
        tree = trees(version, services=60, timeout_ms=version)[SITE]
        site.accept(version, tree)
        if version == 1:
            receive(held, site)
    assert receive(held, site) == ('ConfigDelta', ApplyOutcome.IN_FORCE)
    assert held.snapshot.tree == site.tree


def test_node_300_versions_behind_gets_one_whole():
    """Guards against hundreds of deltas to a node that was away."""
    held = ConfigurationState(SITE)
    site = site_at(301, held)
    assert receive(held, site) == ('ConfigWhole', ApplyOutcome.IN_FORCE)
    assert held.version == 301
    assert held.snapshot.tree == site.tree


def test_whole_where_the_steps_are_longer():
    """Guards against a chain of large deltas to a node that is behind."""
    held = ConfigurationState(SITE)
    site = SiteEncodings(SITE, 64)
    for version in range(1, 41):
        tree = trees(version, services=2 + version % 2 * 20)[SITE]
        site.accept(version, tree)
        if version == 1:
            receive(held, site)
    assert receive(held, site) == ('ConfigWhole', ApplyOutcome.IN_FORCE)


def test_delta_that_overlaps_what_is_in_force():
    """Guards against a misfit when an edit follows before the last ack."""
    held = ConfigurationState(SITE)
    site = SiteEncodings(SITE, 64)
    site.accept(1, trees(1, services=40)[SITE])
    receive(held, site)
    site.accept(2, trees(2, services=39)[SITE])
    late = site.message_for(1, held.short_digest)
    receive(held, site)
    site.accept(3, trees(3, services=39, timeout_ms=3)[SITE])
    sent_before_ack = site.message_for(1, site.digest_of(1))
    for message in (sent_before_ack, late):
        held.apply_delta(decode_from_control(message.frames[0]))
    assert held.version == 3
    assert held.snapshot.tree == site.tree


def test_misfit_changes_nothing():
    """Guards against a delta or whole that is applied in part."""
    held = ConfigurationState(SITE)
    site = site_at(2, held)
    before = held.snapshot
    delta = decode_from_control(
        site.message_for(1, held.short_digest).frames[0],
    )
    replace = msgspec.structs.replace
    for wrong in (
        replace(delta, base_digest='0' * 16),
        replace(delta, digest='0' * 64),
        replace(delta, base_version=2),
    ):
        assert held.apply_delta(wrong) is ApplyOutcome.MISFIT
    raw = site.full_message().frames[1]
    for digest, damaged in (('0' * 64, raw), (site.digest, raw[:-9])):
        assert held.apply_full(2, digest, damaged) is ApplyOutcome.MISFIT
    assert held.snapshot is before


def test_bad_tree_is_refused_as_a_whole():
    """Guards against a route without its service on a node."""
    site = SiteEncodings(SITE, 64)
    tree = trees(1)[SITE]
    held = ConfigurationState(SITE)
    site.accept(1, {**tree, 'services': {}})
    assert receive(held, site)[1] is ApplyOutcome.MISFIT
    assert held.snapshot is None


@given(st.permutations(range(1, 6)))
def test_version_never_decreases(order):
    """Guards against a late message that takes a node back."""
    encodings = {number: site_at(number) for number in order}
    held = ConfigurationState(SITE)
    seen = []
    for number in order:
        whole = encodings[number].full_message().frames[1]
        held.apply_full(number, encodings[number].digest, whole)
        seen.append(held.version)
    assert seen == sorted(seen)
    assert held.version == 5
