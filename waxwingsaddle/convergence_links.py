"""Links of a convergence measurement and their fault proxies."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from http.client import HTTPConnection
from itertools import permutations, product

from waxwingsaddle.distribution_rig import START_TIMEOUT_S
from waxwingsaddle.util.codec import unpack_json
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import split_address

ZONES = ('zone-a', 'zone-b', 'zone-c')
HTTP_OK = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Parameters of a measurement.

    Attributes:
        edits: Number of edits at each number of nodes.
        delay_ms: One-way delay between availability zones.
        jitter_ms: Maximum random addition to a delay.
        loss_percent: Share of segments lost between availability zones.
        node_delay_ms: One-way delay between a node and the control host of
            its own zone.
        node_loss_percent: Share of segments lost between a node and the
            control host of its own zone.
        services: Number of services in the configuration.
        sites: Number of sites in the configuration.
        settle_s: Time for the directory to settle before the measurement, in
            seconds.
        idle_s: Duration of the measurement without edits, in seconds.
        seed: Seed of the delays and losses.
    """

    edits: int
    delay_ms: float
    jitter_ms: float
    loss_percent: float
    node_delay_ms: float
    node_loss_percent: float
    services: int
    sites: int
    settle_s: float
    idle_s: float
    seed: int


class Links:
    """Links between control hosts, and between zones and control hosts.

    Args:
        plan: Parameters of the measurement.
        hosts: Settings entry of each control host by its name.

    Attributes:
        peer_addresses: Address of the proxied link by sending and receiving
            control host.
        node_addresses: Address of the proxied link by zone of the node and
            control host.
    """

    def __init__(self, plan: Plan, hosts: Mapping[str, dict]) -> None:
        self._plan = plan
        self._hosts = hosts
        self._peer_proxy = free_address()
        # Each zone has its own proxy, since a single process would limit the
        # throughput.
        self._node_proxies = {zone: free_address() for zone in ZONES}
        self.peer_addresses = {
            pair: free_address() for pair in permutations(hosts, 2)
        }
        self.node_addresses = {
            pair: free_address() for pair in product(ZONES, hosts)
        }

    def proxy_settings(self) -> Iterator[dict]:
        """Yields the settings of each fault proxy."""
        yield self._peer_proxy_settings()
        for number, zone in enumerate(ZONES, 1):
            yield self._node_proxy_settings(zone, number)

    def are_ready(self) -> bool:
        """Returns whether all proxies are ready."""
        return all(
            map(is_ready, (self._peer_proxy, *self._node_proxies.values()))
        )

    def peer_bytes(self) -> int:
        """Returns the bytes between control hosts so far, without headers."""
        return _counted_bytes(self._peer_proxy)

    def node_bytes(self) -> int:
        """Returns the bytes between nodes and control hosts so far.

        Headers are not counted.
        """
        return sum(map(_counted_bytes, self._node_proxies.values()))

    def _peer_proxy_settings(self) -> dict:
        cross_zone = self._condition(
            self._plan.delay_ms, self._plan.loss_percent
        )
        return {
            'host': 'faults',
            'http_address': self._peer_proxy,
            'seed': self._plan.seed,
            'links': [
                {
                    'name': f'{source}-to-{target}',
                    'listen_address': address,
                    'target_address': self._hosts[target]['peer_address'],
                    'condition': cross_zone,
                }
                for (source, target), address in self.peer_addresses.items()
            ],
        }

    def _node_proxy_settings(self, zone: str, number: int) -> dict:
        plan = self._plan
        cross_zone = self._condition(plan.delay_ms, plan.loss_percent)
        same_zone = self._condition(plan.node_delay_ms, plan.node_loss_percent)
        return {
            'host': f'faults-{zone}',
            'http_address': self._node_proxies[zone],
            'seed': plan.seed + number,
            'links': [
                {
                    'name': f'{zone}-to-{host}',
                    'listen_address': self.node_addresses[zone, host],
                    'target_address': entry['node_address'],
                    'condition': same_zone
                    if entry['availability_zone'] == zone
                    else cross_zone,
                }
                for host, entry in self._hosts.items()
            ],
        }

    def _condition(self, delay_ms: float, loss_percent: float) -> dict:
        return {
            'delay_ms': delay_ms,
            'jitter_ms': self._plan.jitter_ms,
            'loss_percent': loss_percent,
        }


def is_ready(address: str) -> bool:
    """Returns whether a program reports that it is ready."""
    return _get_json(address, '/readyz')[0] == HTTP_OK


def _counted_bytes(proxy: str) -> int:
    return sum(
        link['forward_bytes'] + link['backward_bytes']
        for link in _get_json(proxy, '/links')[1].values()
    )


def _get_json(address: str, path: str) -> tuple[int, dict]:
    connection = HTTPConnection(
        *split_address(address), timeout=START_TIMEOUT_S
    )
    try:
        connection.request('GET', path)
        response = connection.getresponse()
        return response.status, unpack_json(response.read())
    finally:
        connection.close()
