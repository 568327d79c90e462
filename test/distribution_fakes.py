"""Fake services, and control hosts and nodes that run on them."""

from dataclasses import dataclass, field
from types import SimpleNamespace

import msgspec

from waxwingsaddle import distribution, settings, subscription
from waxwingsaddle.addresses import ControlHost, NodeControl
from waxwingsaddle.config import SourceSet, check_sources
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.departure_records import DepartureRecords, encode_departures
from waxwingsaddle.events import Timeline
from waxwingsaddle.fleet_events import FleetTimeline
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.outcomes import Unavailable
from waxwingsaddle.raft_messages import Members
from waxwingsaddle.rollout_orders import RolloutOrders
from waxwingsaddle.util.codec import msgpack_decoder, pack
from waxwingsaddle.util.ports import free_address


class FakeReplication:
    """Service `replication` of a control host, whose state a test sets."""

    def __init__(self):
        self.state = SimpleNamespace(
            version=0,
            sites={},
            rollouts=RolloutOrders(),
            departures=DepartureRecords(),
        )
        self.age_ms = 0
        self.has_leader = True

    def majority_age_ms(self):
        return self.age_ms

    def newest(self):
        return self.state if self.has_leader else Unavailable(reason='test')

    def store_departures(self, hosts):
        if not self.has_leader:
            return Unavailable(reason='test')
        return self.state.departures.apply(encode_departures(hosts))

    def members(self):
        return Members()


class FakePeers:
    """Service `peers`: delivers messages between control hosts directly."""

    def __init__(self, host, network):
        self.host = host
        self.network = network
        self.handlers = {}
        self.decoders = {}
        network[host] = self

    def subscribe(self, message_type, handler, decode=None):
        self.handlers[message_type] = handler
        self.decoders[message_type] = decode or msgpack_decoder(message_type)

    def send(self, host, message):
        peer = self.network.get(host)
        if peer is None or self.host not in self.network:
            return False
        handler = peer.handlers.get(type(message))
        if handler:
            peer.receive(self.host, type(message), pack(message))
        return True

    def receive(self, sender, message_type, raw):
        self.handlers[message_type](sender, self.decoders[message_type](raw))

    def broadcast(self, message):
        for host in tuple(self.network):
            if host != self.host:
                self.send(host, message)


@dataclass
class FakeUpstreams:
    """Service `upstreams` of a node, whose announcements a test sets."""

    parts: tuple = ()
    departed: tuple = ()
    restored: tuple = ()
    is_restored: bool = False

    def announcements(self):
        return self.parts

    def departures(self):
        return self.departed

    def restore_departures(self, departures, *, are_all):
        known = (*self.restored, *departures)
        self.restored = tuple({one.key: one for one in known}.values())
        self.departed += departures
        self.is_restored = self.is_restored or are_all

    def keep_departures(self, wait_until_kept):
        """Acknowledges nothing."""


class FakeNodeTransport:
    """Service `hop`: answers requests between nodes directly."""

    def __init__(self, address, network):
        self.network = network
        self.handlers = {}
        network[address] = self

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def request(self, address, message, timeout_s, reply_type):
        peer = self.network.get(address)
        if peer is None:
            return None
        reply = peer.handlers[type(message)](message)
        assert isinstance(reply, reply_type)
        return reply


def announcement(name, service='orders', state='ready'):
    return SimpleNamespace(
        name=name,
        service=service,
        slots=6,
        state=state,
        started_ms_ago=1000,
        version='',
    )


def sources(version, services=3, sites=('north',), timeout_ms=2000):
    """Returns the files of an edit with some services and their routes."""
    lines = [f'version = {version}']
    for number in range(services):
        name = f's{number}'
        lines += [
            f'[services.{name}]',
            f'timeout_ms = {timeout_ms if number == 0 else 2000}',
            f'[routes.{name}]',
            f'path_prefix = "/{name}"',
            f'service = "{name}"',
        ]
    return SourceSet(
        base='\n'.join(lines),
        overlays=dict.fromkeys(sites, ''),
    )


def trees(version, **options):
    return check_sources(sources(version, **options)).sites


@dataclass
class Control:
    """A control host on fakes in the test process."""

    host: ControlHost
    hosts: tuple
    network: dict
    options: dict = field(default_factory=dict)

    def __post_init__(self):
        self.kernel = Kernel()
        self.replication = FakeReplication()
        self.events = FleetTimeline(self.host.host, 100, 100)
        self.kernel.provide('events', self.events)
        self.kernel.provide('replication', self.replication)
        self.kernel.provide('peers', FakePeers(self.host.host, self.network))
        checked_settings = settings.check(
            'test',
            'control',
            {
                'host': self.host.host,
                'data_folder': '/nonexistent',
                'hosts': [msgspec.to_builtins(host) for host in self.hosts],
                **self.options,
            },
            ControlSettings,
        )
        assert isinstance(checked_settings, ControlSettings), checked_settings
        self.service = distribution.attach(self.kernel, checked_settings)
        self.kernel.start()

    def accept(self, version, **tree_options):
        """Makes this control host accept a version."""
        self.replication.state = SimpleNamespace(
            version=version,
            sites=trees(version, **tree_options),
            rollouts=RolloutOrders(),
            departures=self.replication.state.departures,
        )
        self.kernel.publish('configuration-accepted', version=version)

    def versions(self):
        return {
            node.host: node.version
            for node in self.service.fleet_status().nodes
        }


def control_hosts(zones):
    return tuple(
        ControlHost(
            host=f'control-{number}',
            availability_zone=zone,
            peer_address=free_address(),
            node_address=free_address(),
            http_address=free_address(),
        )
        for number, zone in enumerate(zones)
    )


@dataclass
class Node:
    """A node on fakes in the test process."""

    name: str
    hosts: tuple
    zone: str = 'zone-a'
    options: dict = field(default_factory=dict)
    upstreams: FakeUpstreams = field(default_factory=FakeUpstreams)
    transport: object = None

    def __post_init__(self):
        self.kernel = Kernel()
        self.timeline = Timeline('node', self.name, 100)
        self.kernel.provide('events', self.timeline)
        self.kernel.provide('upstreams', self.upstreams)
        if self.transport:
            self.kernel.provide('hop', self.transport)
        self.loaded = settings.check(
            'test',
            'node',
            {
                'host': self.name,
                'availability_zone': self.zone,
                'site': 'north',
                'http_address': '127.0.0.1:1',
                'call_address': '127.0.0.1:2',
                'controls': [
                    msgspec.to_builtins(
                        NodeControl(
                            host=control.host,
                            availability_zone=control.availability_zone,
                            node_address=control.node_address,
                        ),
                    )
                    for control in self.hosts
                ],
                **self.options,
            },
            NodeSettings,
        )
        assert isinstance(self.loaded, NodeSettings), self.loaded
        self.service = subscription.attach(self.kernel, self.loaded)
        self.seen = []
        self.kernel.subscribe('configuration-in-force', self._on_in_force)
        self.kernel.start()

    def _on_in_force(self, version):
        self.seen.append(version)

    def crash(self):
        """Ends without a message to its control host."""
        self.service._thread.kill()
        self.service.session.link.close()

    def announce(self, *parts):
        self.upstreams.parts = parts
        self.kernel.publish('upstreams-changed')

    @property
    def version(self):
        current = self.service.current
        return current.version if current else 0
