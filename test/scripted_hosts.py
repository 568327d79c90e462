"""Two real hosts in front of an upstream that sends bytes by a script."""

from contextlib import contextmanager

from test.nodes import node_environment
from test.scripted_upstreams import ScriptedUpstream


@contextmanager
def two_hosts(*scripts):
    """Yields a scripted upstream, its guarding node and an entry node."""
    upstream = ScriptedUpstream(*scripts)
    upstream.name = 'up-1'
    upstream.slots = 6
    with node_environment() as started:
        guard = started.new_node('guard')
        entry = started.new_node('entry')
        guard.start(nodes=(entry, guard))
        guard.announce(upstream)
        entry.start([guard.entry(upstream)], nodes=(entry, guard))
        try:
            yield upstream, guard, entry
        finally:
            upstream.close()
