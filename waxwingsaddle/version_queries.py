"""Queries of a node for the versions of control hosts and neighbours."""

import random
from dataclasses import dataclass
from typing import Any

from eventlet import Timeout, greenthread

from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.control_host_selection import VersionReply, order_by_zone
from waxwingsaddle.control_link import VersionQuery, query_versions
from waxwingsaddle.known_controls import ControlList
from waxwingsaddle.neighbours import Neighbours
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.wake_flag import WakeFlag

# Pause before the second query of a control host; later ones are twice as long.
_FIRST_PAUSE_S = 0.1


@dataclass(slots=True)
class VersionQueries:
    """Queries control hosts and neighbours for their versions.

    Attributes:
        settings: Settings of the node.
        neighbours: Neighbours of the node.
        rng: Source of random numbers.
        controls: Control hosts that the node knows.
    """

    settings: Any
    neighbours: Neighbours
    rng: random.Random
    controls: ControlList

    def query_home(self) -> tuple[VersionReply, ...]:
        """Queries the control hosts of the own availability zone."""
        zone = self.settings.availability_zone
        controls = [
            control
            for control in self.controls.all()
            if control.availability_zone == zone
        ]
        return self._query(controls, self.settings.answer_wait_ms)

    def query_hosts(
        self,
        excluded: NodeControl | None,
        limit: int,
    ) -> tuple[VersionReply, ...]:
        """Queries some control hosts; those of the own zone come first.

        Args:
            excluded: Control host to leave out; none to leave out nobody.
            limit: Maximum number of control hosts to query.
        """
        controls = order_by_zone(
            self.controls.all(),
            self.settings.availability_zone,
            self.rng,
        )
        excluded_host = excluded.host if excluded else ''
        candidates = [
            control for control in controls if control.host != excluded_host
        ]
        return self._query(candidates[:limit], self.settings.answer_wait_ms)

    def query_all(self) -> tuple[VersionReply, ...]:
        """Queries all control hosts and neighbours at once.

        Control hosts without a fresh majority contact are queried again: after
        a loss of power of all hosts they elect a leader in this time.
        Once a control host with a fresh majority contact has replied, the
        other control hosts get `answer_wait_ms` only and the replies of the
        neighbours are discarded: a fresh control host that replies later would
        not be much newer, and unreachable ones would delay a node that can't
        serve yet.
        """
        timeout_ms = self.settings.floor_wait_ms
        neighbour_query = greenthread.spawn(
            self.neighbours.query_versions, timeout_ms
        )
        fresh_reply = WakeFlag()
        replies: dict[str, VersionReply] = {}
        threads = [
            greenthread.spawn(
                self._collect_reply, control, replies, fresh_reply
            )
            for control in self.controls.all()
        ]
        fresh_reply.wait(timeout_ms / MS_PER_S)
        if fresh_reply.is_set():
            with Timeout(self.settings.answer_wait_ms / MS_PER_S, False):
                _wait_all(threads)
            for thread in (neighbour_query, *threads):
                thread.kill()
            return tuple(replies.values())
        _wait_all(threads)
        return (*replies.values(), *neighbour_query.wait())

    def fetch_full(self, replies: tuple[VersionReply, ...]) -> Any:
        """Fetches the full configuration from the newest neighbour.

        Args:
            replies: Replies of control hosts and neighbours.

        Returns:
            The reply; none when no neighbour has the newest version, or when
            the neighbour does not reply in time.
        """
        newest = max(replies, key=_rank, default=None)
        if newest is None or newest.control is not None:
            return None
        return self.neighbours.fetch_configuration(
            newest.address,
            self.settings.floor_wait_ms,
        )

    def _collect_reply(
        self,
        control: NodeControl,
        replies: dict[str, VersionReply],
        fresh_reply: WakeFlag,
    ) -> None:
        """Queries a control host until any of them has a fresh reply."""
        query = VersionQuery(
            control,
            self.controls,
            self.settings.site,
            self.settings.connect_timeout_ms,
        )
        query.open()
        try:
            self._ask_until_fresh(query, control.host, replies, fresh_reply)
        finally:
            query.close()

    def _ask_until_fresh(
        self,
        query: VersionQuery,
        host: str,
        replies: dict[str, VersionReply],
        fresh_reply: WakeFlag,
    ) -> None:
        deadline_s = monotonic_s() + self.settings.floor_wait_ms / MS_PER_S
        limit_ms = self.settings.majority_age_limit_ms
        pause_s = _FIRST_PAUSE_S
        while not fresh_reply.is_set():
            remaining_s = deadline_s - monotonic_s()
            if remaining_s <= 0:
                return
            reply = query.ask(round(remaining_s * MS_PER_S))
            if reply is None:
                return
            replies[host] = reply
            if reply.is_fresh(limit_ms):
                fresh_reply.set()
            fresh_reply.wait(min(pause_s, remaining_s))
            pause_s *= 2

    def _query(
        self, controls: Any, timeout_ms: int
    ) -> tuple[VersionReply, ...]:
        return query_versions(
            tuple(controls),
            self.controls,
            self.settings.site,
            timeout_ms,
            self.settings.connect_timeout_ms,
        )


def _wait_all(threads: list[greenthread.GreenThread]) -> None:
    for thread in threads:
        thread.wait()


def _rank(reply: VersionReply) -> tuple[int, bool]:
    """Ranks by version; a neighbour precedes a control host."""
    return reply.version, reply.control is None
