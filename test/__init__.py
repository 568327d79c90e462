"""Tests of waxwingsaddle."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

# The same examples in each run, so that runs give the same result.
settings.register_profile('waxwing', derandomize=True)
settings.load_profile('waxwing')


@settings(max_examples=1, suppress_health_check=[HealthCheck.too_slow])
@given(st.text())
def _draw_first_text(_):
    """Makes hypothesis build its table of characters.

    This takes a second on a new machine; within a test it failed the health
    check of hypothesis for slow examples.
    """


_draw_first_text()
