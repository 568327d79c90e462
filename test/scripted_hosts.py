"""Two real hosts in front of an upstream that sends bytes by a script."""

from contextlib import contextmanager

from test.nodes import node_environment
from test.scripted_upstreams import ScriptedUpstream
from waxwingsaddle.util.ports import free_address


@contextmanager
def two_hosts(*scripts, **settings):
    """Yields a scripted upstream, its guarding node and an entry node.

    Args:
        scripts: Scripts of the upstream.
        settings: Additional settings of both nodes.
    """
    upstream = ScriptedUpstream(*scripts)
    upstream.name = 'up-1'
    upstream.slots = 6
    with node_environment() as started:
        guard, entry = (
            started.new_node(host, ingress_address=free_address(), **settings)
            for host in ('guard', 'entry')
        )
        guard.start(nodes=(entry, guard))
        guard.announce(upstream)
        entry.start([guard.entry(upstream)], nodes=(entry, guard))
        try:
            yield upstream, guard, entry
        finally:
            upstream.close()
