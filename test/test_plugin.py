"""The nose2 plugin skips the tests that KNOWN-RED.txt lists."""

import unittest

from test.plugin import skip_test


def _fail():
    raise AssertionError('it fails')


def test_only_listed_test_is_skipped():
    """Guards against listed tests that fail CI and unlisted ones skipped."""
    listed = unittest.FunctionTestCase(_fail)
    other = unittest.FunctionTestCase(_fail)
    outcome = unittest.TestResult()
    skip_test(listed, 'listed')
    listed.run(outcome)
    assert [reason for _, reason in outcome.skipped] == ['listed']
    assert not outcome.failures
    other.run(outcome)
    assert len(outcome.failures) == 1
