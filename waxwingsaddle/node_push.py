"""Pushes the configuration and the directory to nodes."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from waxwingsaddle import metrics
from waxwingsaddle.directory_feed import DirectoryFeed
from waxwingsaddle.leases import Lease, LeaseTable
from waxwingsaddle.node_server import NodeServer
from waxwingsaddle.site_encodings import (
    EncodedMessage,
    SiteCatalogue,
    SiteEncodings,
)

RESENT = metrics.counter(
    'waxwing_distribution_resent',
    'Messages sent again to nodes that had lost them.',
    ('kind',),
)


@dataclass(slots=True)
class NodePush:
    """Sends each node the updates it lacks.

    Messages are encoded once and shared by the nodes of a site.

    Attributes:
        leases: Leases of the connected nodes.
        sites: Encoded configuration of each site.
        feed: Encoded directory.
        server: Socket that the nodes are connected to.
    """

    leases: LeaseTable
    sites: SiteCatalogue
    feed: DirectoryFeed
    server: NodeServer

    def send_initial(self, lease: Lease) -> None:
        """Sends the directory and the configuration to a new node.

        The directory comes first, because a route may be in force on a node
        only when the node has the upstreams that the route leads to.
        """
        site = self.sites.find(lease.site)
        if site is None:
            return
        self._send_directory(lease, site)
        if lease.version < site.version:
            self.send_configuration(lease, site)

    def send_configuration(self, lease: Lease, site: SiteEncodings) -> None:
        """Sends a delta that fits the node, or the full configuration."""
        message = site.message_for(lease.version, lease.digest)
        self._send((lease,), message)
        lease.sent_version = site.version

    def send_full_configuration(self, lease: Lease) -> None:
        """Sends the full configuration to a node that no delta fits."""
        site = self.sites.find(lease.site)
        if site is not None and site.version:
            self._send((lease,), site.full_message())
            lease.sent_version = site.version

    def send_accepted_version(
        self, services_before: dict[str, frozenset[str]]
    ) -> None:
        """Sends a newly accepted version to all nodes.

        Args:
            services_before: Services that the routes of each site reached in
                the previous version.
        """
        for site_name, leases in self._leases_by_site().items():
            site = self.sites.find(site_name)
            if site is None:
                continue
            before = services_before.get(site_name)
            if before is None:
                for lease in leases:
                    self._send_directory(lease, site)
            else:
                self._send_new_services(site, site.services - before, leases)
            self._send_configuration_to_site(site, leases)

    def send_directory_changes(self) -> None:
        """Sends the directory changes since the last push to all nodes."""
        for site_name, leases in self._leases_by_site().items():
            site = self.sites.find(site_name)
            if site is None:
                continue
            for lease in leases:
                if lease.sent_revision < self.feed.revision:
                    self._send_directory(lease, site)

    def resend_missing(self, lease: Lease, revision: int) -> None:
        """Resends updates that a node has not received.

        An update counts as lost if it was sent before the previous renewal
        and the node still lacks it.

        Args:
            lease: Lease of the node, just renewed.
            revision: Directory revision that the node has.
        """
        site = self.sites.find(lease.site)
        if site is None:
            return
        if revision < lease.due_revision:
            RESENT.labels('directory').inc()
            lease.sent_revision = revision
        is_completion_due = self.feed.is_complete and not lease.is_complete
        if revision < 0 or is_completion_due:
            lease.sent_revision = -1
        if lease.sent_revision < self.feed.revision:
            self._send_directory(lease, site)
        is_version_unsent = lease.sent_version < site.version
        is_version_lost = lease.version < lease.due_version
        if lease.version < site.version and (
            is_version_lost or is_version_unsent
        ):
            RESENT.labels('configuration').inc()
            self.send_configuration(lease, site)
        lease.due_revision = lease.sent_revision
        lease.due_version = lease.sent_version

    def _send_new_services(
        self,
        site: SiteEncodings,
        services: frozenset[str],
        leases: list[Lease],
    ) -> None:
        message = self.feed.updates_for_services(site, services)
        if message is not None:
            self._send(leases, message)

    def _send_configuration_to_site(
        self, site: SiteEncodings, leases: list[Lease]
    ) -> None:
        groups: dict[tuple[int, str], list[Lease]] = defaultdict(list)
        for lease in leases:
            if lease.version < site.version:
                groups[lease.version, lease.digest].append(lease)
        for (version, digest), group in groups.items():
            self._send(group, site.message_for(version, digest))
            for lease in group:
                lease.sent_version = site.version

    def _send_directory(self, lease: Lease, site: SiteEncodings) -> None:
        messages = self.feed.updates_since(site, lease.sent_revision)
        for message in messages:
            self._send((lease,), message)
        if lease.sent_revision < 0:
            lease.is_complete = self.feed.is_complete
        lease.sent_revision = self.feed.revision

    def _send(self, leases: Iterable[Lease], message: EncodedMessage) -> None:
        self.server.send_all(
            [(lease.identity, lease.availability_zone) for lease in leases],
            message,
        )

    def _leases_by_site(self) -> dict[str, list[Lease]]:
        groups: dict[str, list[Lease]] = defaultdict(list)
        for lease in self.leases:
            groups[lease.site].append(lease)
        return groups
