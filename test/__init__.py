"""Tests of waxwingsaddle."""

from hypothesis import HealthCheck, settings

# The same examples in each run, a fixed number of them and no limit of time, so
# that the verdict does not depend on the speed of the machine.
settings.register_profile(
    'waxwing',
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('waxwing')
