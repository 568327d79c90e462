"""nose2 plugin: skips KNOWN-RED tests and prints a summary line."""

import unittest
from functools import partial
from pathlib import Path

from nose2.events import Plugin

KNOWN_RED_FILE = Path(__file__).parents[1] / 'KNOWN-RED.txt'


class ClosingLine(Plugin):
    """Counts test outcomes, and skips the tests listed in KNOWN-RED.txt.

    An entry in that file begins with `test: ` and the identifier of the test,
    such as `test.test_raft.test_election`.
    """

    configSection = 'closing-line'
    alwaysOn = True

    def __init__(self) -> None:
        """Reads the list of known failures."""
        self._known_red = _read_known_red()
        self._counts = {'passed': 0, 'failed': 0, 'skipped': 0}

    def startTest(self, event) -> None:
        """Skips a test if it is listed as a known failure."""
        name = event.test.id().split('\n')[0]
        if name in self._known_red:
            print(f'known red, passed over: {name}')
            skip_test(event.test, 'listed in KNOWN-RED.txt')

    def testOutcome(self, event) -> None:
        """Counts the outcome of a test."""
        kind = event.outcome if event.outcome in self._counts else 'failed'
        self._counts[kind] += 1

    def afterSummaryReport(self, event) -> None:
        """Prints the summary line."""
        print(
            ', '.join(f'{count} {kind}' for kind, count in self._counts.items())
        )


def skip_test(test: unittest.TestCase, reason: str) -> None:
    # unittest reads the skip marker from the method, or from the class for all
    # of its tests.
    method = partial(getattr(test, test._testMethodName))
    method.__unittest_skip__ = True
    method.__unittest_skip_why__ = reason
    setattr(test, test._testMethodName, method)


def _read_known_red() -> frozenset[str]:
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    )
