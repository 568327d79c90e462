"""Metrics of the guards of a node."""

from waxwingsaddle import metrics

REFUSED = metrics.counter(
    'waxwing_guard_refused',
    'Calls that the guards of this node refused.',
    ('reason',),
)
DUPLICATES = metrics.counter(
    'waxwing_guard_duplicates',
    'Calls dropped because their identifier was seen before.',
)
WAIT = metrics.histogram(
    'waxwing_guard_wait_seconds',
    'Time that calls waited for a slot, those that got one at once left out.',
)
UPSTREAM_TIME = metrics.histogram(
    'waxwing_upstream_seconds',
    'Time from the hand-over of a call to the head of its answer.',
)
