"""Pushes configuration and directory to the nodes of a control host."""

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
    """Sends each node what it lacks; nodes of a site share the encodings.

    Attributes:
        leases: The nodes.
        sites: Encoded configuration.
        feed: Encoded directory.
        server: The socket.
    """

    leases: LeaseTable
    sites: SiteCatalogue
    feed: DirectoryFeed
    server: NodeServer

    def everything(self, lease: Lease) -> None:
        """Sends the directory and the configuration to a new node.

        The directory goes first: no route may be in force on a node before it
        has the entries the route leads to.
        """
        site = self.sites.find(lease.site)
        if site is None:
            return
        self._directory(lease, site)
        if lease.version < site.version:
            self.configuration(lease, site)

    def configuration(self, lease: Lease, site: SiteEncodings) -> None:
        """Sends what brings the configuration of a node up to date."""
        message = site.message_for(lease.version, lease.digest)
        self._send((lease,), message)
        lease.sent_version = site.version

    def whole(self, lease: Lease) -> None:
        """Sends the whole configuration to a node whose copy is damaged."""
        site = self.sites.find(lease.site)
        if site is not None and site.version:
            self._send((lease,), site.whole())
            lease.sent_version = site.version

    def accepted(self, services_before: dict[str, frozenset[str]]) -> None:
        """Sends a newly accepted version to all nodes.

        Args:
            services_before: Services that each site reached before.
        """
        for site_name, leases in self._by_site().items():
            site = self.sites.find(site_name)
            if site is None:
                continue
            before = services_before.get(site_name)
            if before is None:
                for lease in leases:
                    self._directory(lease, site)
            else:
                self._reached(site, site.services - before, leases)
            self._accepted_by(site, leases)

    def directory(self) -> None:
        """Sends the directory changes since the last push."""
        for site_name, leases in self._by_site().items():
            site = self.sites.find(site_name)
            if site is None:
                continue
            for lease in leases:
                if lease.sent_revision < self.feed.revision:
                    self._directory(lease, site)

    def repair(self, lease: Lease, revision: int) -> None:
        """Sends again what a node still lacks one renewal after it was sent.

        Args:
            lease: Lease of the node, just renewed.
            revision: Directory revision the node has.
        """
        site = self.sites.find(lease.site)
        if site is None:
            return
        if revision < lease.due_revision:
            RESENT.labels('directory').inc()
            lease.sent_revision = revision
        is_to_complete = self.feed.is_complete and not lease.is_complete
        if revision < 0 or is_to_complete:
            lease.sent_revision = -1
        if lease.sent_revision < self.feed.revision:
            self._directory(lease, site)
        is_unsent = lease.sent_version < site.version
        is_lost = lease.version < lease.due_version
        if lease.version < site.version and (is_lost or is_unsent):
            RESENT.labels('configuration').inc()
            self.configuration(lease, site)
        lease.due_revision = lease.sent_revision
        lease.due_version = lease.sent_version

    def _reached(
        self,
        site: SiteEncodings,
        services: frozenset[str],
        leases: list[Lease],
    ) -> None:
        message = self.feed.of_services(site, services)
        if message is not None:
            self._send(leases, message)

    def _accepted_by(self, site: SiteEncodings, leases: list[Lease]) -> None:
        groups: dict[tuple[int, str], list[Lease]] = defaultdict(list)
        for lease in leases:
            if lease.version < site.version:
                groups[lease.version, lease.digest].append(lease)
        for (version, digest), group in groups.items():
            self._send(group, site.message_for(version, digest))
            for lease in group:
                lease.sent_version = site.version

    def _directory(self, lease: Lease, site: SiteEncodings) -> None:
        messages = self.feed.messages_for(site, lease.sent_revision)
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

    def _by_site(self) -> dict[str, list[Lease]]:
        groups: dict[str, list[Lease]] = defaultdict(list)
        for lease in self.leases:
            groups[lease.site].append(lease)
        return groups
