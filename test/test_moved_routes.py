"""Edits that change routes and services together, with real processes."""

from test.zones import ZONES, zones

MOVES = 40
NODES_PER_ZONE = 2

BASE = """version = {version}
[services.orders]
timeout_ms = 2000
{services}
[routes.order]
path_prefix = "/orders"
methods = ["POST"]
service = "{service}"
"""
OVERLAY = """[routes.local]
path_prefix = "/local"
methods = ["GET"]
service = "orders-{number}"
"""


def base(version, number, service=None):
    """Returns a base file with `orders` and one numbered service."""
    return BASE.format(
        version=version,
        services=f'[services.orders-{number}]\ntimeout_ms = 1000',
        service=service or f'orders-{number}',
    )


def test_service_that_an_overlay_routes_to_is_not_removed():
    """Guards against accepting a version with a dangling route."""
    with zones(dict.fromkeys(ZONES, NODES_PER_ZONE)) as running:
        overlays = {'north': OVERLAY.format(number=1)}
        running.accept('c-zone-a', base(2, 1), **overlays)
        for control in running.controls:
            # `base` moves its own route, but the overlay still routes to the
            # old service.
            answer = running.submit(control, base(3, 2), **overlays)
            reply = str(answer)
            assert 'version' not in answer or answer['version'] != 3, reply
            assert 'local' in reply and 'orders-1' in reply, reply
        running.wait_in_force()
        moved = {'north': OVERLAY.format(number=2)}
        running.accept('c-zone-c', base(3, 2), **moved)
        running.wait_in_force()
        for host in running.nodes:
            routes = running.journal(host)[-1]['routes']
            assert set(routes.values()) == {'orders-2'}, routes


def test_route_moves_with_its_service_at_every_version():
    """Guards against applying a version in part.

    A route without its service would result.
    """
    with zones(dict.fromkeys(ZONES, NODES_PER_ZONE)) as running:
        controls = tuple(running.controls)
        # The disconnected node receives all missed versions at once, the killed
        # node the full configuration.
        cut_links = running.node_links(running.nodes_of('zone-b')[:1], controls)
        killed = running.nodes_of('zone-c')[0]
        for number in range(MOVES):
            running.set_cut(cut_links, number % 8 in {2, 3, 4})
            if number % 10 == 5:
                running.restart([killed])
            running.accept(
                controls[number % len(controls)],
                base(running.version + 1, number),
                north=OVERLAY.format(number=number),
            )
            if number % 3 == 0:
                running.wait_in_force(running.nodes_of('zone-a'))
        running.set_cut(cut_links, False)
        running.wait_in_force()
        running.check_versions_increase()
        seen = {
            line['version']
            for host in running.nodes
            for line in running.journal(host)
        }
        assert len(seen) > MOVES / 2, sorted(seen)
