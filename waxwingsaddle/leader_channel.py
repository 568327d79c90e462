"""Requests to the leader of the log, on this or another control host."""

from collections.abc import Callable
from typing import Any

from eventlet import greenthread

from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.leader_forwarding import Answer, LeaderForwarder
from waxwingsaddle.leader_requests import LeaderRequests
from waxwingsaddle.outcomes import Unavailable
from waxwingsaddle.peers import Peers
from waxwingsaddle.polling import POLL_INTERVAL_S
from waxwingsaddle.raft_driver import RaftDriver
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s


class LeaderChannel:
    """Asks the leader until it answers or the time is over.

    Args:
        driver: Runs the replica of this host.
        peers: Sends and receives messages of control hosts.
        settings: Settings of the control host.
        find_leader: Returns the name of the host that leads, None if unknown.

    Attributes:
        requests: Answers requests while this host leads.
        forwarder: Forwards them to another host that leads.
    """

    def __init__(
        self,
        driver: RaftDriver,
        peers: Peers,
        settings: ControlSettings,
        find_leader: Callable[[], str | None],
    ) -> None:
        self.requests = LeaderRequests(driver, settings.voter_policy)
        self.forwarder = LeaderForwarder(peers, self.requests, driver.state)
        self._driver = driver
        self._host = peers.host
        self._timeout_s = settings.forward_timeout_ms / MS_PER_S
        self._find_leader = find_leader

    def ask(
        self,
        request: Any,
        decide: Callable[..., Answer],
        forward: Callable[..., Answer],
        deadline_s: float,
    ) -> Answer:
        """Returns the answer of the leader; `Unavailable` without one.

        Args:
            request: The request.
            decide: Answers it on this host, as the leader, given the request
                and the seconds that are left.
            forward: Forwards it, given the leader, the request and a timeout
                in seconds.
            deadline_s: Monotonic time at which to give up, in seconds.
        """
        answer: Answer = Unavailable(reason='no leader is known')
        while monotonic_s() < deadline_s:
            remaining_s = deadline_s - monotonic_s()
            leader = self._find_leader()
            if self._driver.is_leader:
                answer = decide(request, remaining_s)
            elif leader not in {None, self._host}:
                timeout_s = min(remaining_s, self._timeout_s)
                answer = forward(leader, request, timeout_s)
            if not isinstance(answer, Unavailable):
                return answer
            greenthread.sleep(POLL_INTERVAL_S)
        if self._driver.problem:
            return Unavailable(reason=self._driver.problem)
        return answer
