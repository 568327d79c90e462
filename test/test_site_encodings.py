"""Tests of deltas and full configurations, encoded and applied."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from test.distribution_fakes import trees
from waxwingsaddle.configuration_state import ApplyOutcome, ConfigurationState
from waxwingsaddle.node_messages import ConfigDelta, decode_from_control
from waxwingsaddle.site_encodings import SiteEncodings

SITE = 'north'


def site_at(version, config=None):
    """Returns the encodings of a site that accepted some versions.

    Args:
        version: Last accepted version; the first one is 1.
        config: Configuration of a node that receives version 1, if given.
    """
    encodings = SiteEncodings(SITE, 64)
    for number in range(1, version + 1):
        encodings.accept(number, trees(number, timeout_ms=number)[SITE])
        if config is not None and number == 1:
            apply_message(config, encodings)
    return encodings


def apply_message(config, encodings):
    """Applies the next message to a node; returns its kind and the outcome."""
    message = encodings.message_for(config.version, config.short_digest)
    header = decode_from_control(message.frames[0])
    if isinstance(header, ConfigDelta):
        return message.kind, config.apply_delta(header)
    return message.kind, config.apply_full(
        header.version,
        header.digest,
        message.frames[1],
    )


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(1, 9)), max_size=6))
def test_delta_equals_full_configuration(edits):
    """Guards against a node whose tree differs from the accepted one."""
    encodings = SiteEncodings(SITE, 64)
    config = ConfigurationState(SITE)
    for version, (services, timeout_ms) in enumerate(edits, 1):
        tree = trees(version, services=services, timeout_ms=timeout_ms)[SITE]
        encodings.accept(version, tree)
        assert apply_message(config, encodings)[1] is ApplyOutcome.IN_FORCE
        assert config.snapshot.tree == tree
        assert config.snapshot.version == version


def test_node_some_versions_behind_gets_a_delta():
    """Guards against a full configuration where a delta is shorter."""
    config = ConfigurationState(SITE)
    encodings = SiteEncodings(SITE, 64)
    for version in (1, 2, 3):
        tree = trees(version, services=60, timeout_ms=version)[SITE]
        encodings.accept(version, tree)
        if version == 1:
            apply_message(config, encodings)
    assert apply_message(config, encodings) == (
        'ConfigDelta',
        ApplyOutcome.IN_FORCE,
    )
    assert config.snapshot.tree == encodings.tree


def test_node_300_versions_behind_gets_full_configuration():
    """Guards against hundreds of deltas to a node that was disconnected."""
    config = ConfigurationState(SITE)
    encodings = site_at(301, config)
    assert apply_message(config, encodings) == (
        'ConfigWhole',
        ApplyOutcome.IN_FORCE,
    )
    assert config.version == 301
    assert config.snapshot.tree == encodings.tree


def test_full_configuration_where_steps_are_longer():
    """Guards against a delta that is longer than the full configuration."""
    config = ConfigurationState(SITE)
    encodings = SiteEncodings(SITE, 64)
    for version in range(1, 41):
        tree = trees(version, services=2 + version % 2 * 20)[SITE]
        encodings.accept(version, tree)
        if version == 1:
            apply_message(config, encodings)
    assert apply_message(config, encodings) == (
        'ConfigWhole',
        ApplyOutcome.IN_FORCE,
    )


def test_delta_that_overlaps_what_is_in_force():
    """Guards against a misfit of a delta that starts below the node's version.

    It is sent when an edit is accepted before the last acknowledgement arrives.
    """
    config = ConfigurationState(SITE)
    encodings = SiteEncodings(SITE, 64)
    encodings.accept(1, trees(1, services=40)[SITE])
    apply_message(config, encodings)
    encodings.accept(2, trees(2, services=39)[SITE])
    late = encodings.message_for(1, config.short_digest)
    apply_message(config, encodings)
    encodings.accept(3, trees(3, services=39, timeout_ms=3)[SITE])
    sent_before_ack = encodings.message_for(1, encodings.digest_of(1))
    for message in (sent_before_ack, late):
        config.apply_delta(decode_from_control(message.frames[0]))
    assert config.version == 3
    assert config.snapshot.tree == encodings.tree


def test_misfit_changes_nothing():
    """Guards against an update that is applied in part.

    The deltas have a wrong base or digest; the full configurations have a wrong
    digest or are cut off.
    """
    config = ConfigurationState(SITE)
    encodings = site_at(2, config)
    before = config.snapshot
    delta = decode_from_control(
        encodings.message_for(1, config.short_digest).frames[0],
    )
    replace = msgspec.structs.replace
    for misfit in (
        replace(delta, base_digest='0' * 16),
        replace(delta, digest='0' * 64),
        replace(delta, base_version=2),
    ):
        assert config.apply_delta(misfit) is ApplyOutcome.MISFIT
    raw = encodings.full_message().frames[1]
    for digest, damaged in (('0' * 64, raw), (encodings.digest, raw[:-9])):
        assert config.apply_full(2, digest, damaged) is ApplyOutcome.MISFIT
    assert config.snapshot is before


def test_bad_tree_is_refused_as_a_whole():
    """Guards against a node with a route whose service is missing."""
    encodings = SiteEncodings(SITE, 64)
    tree = trees(1)[SITE]
    config = ConfigurationState(SITE)
    encodings.accept(1, {**tree, 'services': {}})
    assert apply_message(config, encodings)[1] is ApplyOutcome.MISFIT
    assert config.snapshot is None


@given(st.permutations(range(1, 6)))
def test_version_never_decreases(order):
    """Guards against a late message that sets a node back."""
    encodings = {number: site_at(number) for number in order}
    config = ConfigurationState(SITE)
    seen = []
    for number in order:
        full_tree = encodings[number].full_message().frames[1]
        config.apply_full(number, encodings[number].digest, full_tree)
        seen.append(config.version)
    assert seen == sorted(seen)
    assert config.version == 5
