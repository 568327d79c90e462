"""Property tests on a slow machine."""

import time

from hypothesis import given, settings
from hypothesis import strategies as st

EXAMPLES = 30
DRAW_S = 0.15

_checked = []


def _draw_slowly(number):
    time.sleep(DRAW_S)
    return number


@settings(max_examples=EXAMPLES)
@given(st.integers().map(_draw_slowly))
def _check(number):
    _checked.append(number)


def test_verdict_does_not_depend_on_the_speed_of_the_machine():
    """Guards against a property test that fails because it draws slowly.

    By default, hypothesis gives up when ten examples take a second to draw.
    """
    _check()
    assert len(_checked) == EXAMPLES
