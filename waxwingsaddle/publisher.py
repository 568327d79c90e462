"""Publishes changes of the replicated log as kernel events."""

from typing import Protocol

from eventlet.event import Event

from waxwingsaddle import logs
from waxwingsaddle.edits import EditState
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.raft_messages import Members


class ReplicatedState(Protocol):
    """What is watched."""

    state: EditState

    @property
    def leader(self) -> str | None:
        """Name of the leading host, when known."""

    def members(self) -> Members:
        """Returns the newest members in the log of this host."""


class Publisher:
    """Publishes in a green thread of its own, so that handlers may wait.

    The events are `configuration-accepted` (`version`), `leader-changed`
    (`leader`, a host name or None) and `members-changed` (`members`). Versions
    that arrive in a snapshot, or before the start, are published as one.

    Args:
        kernel: Takes the events.
        state: What is watched.
    """

    def __init__(self, kernel: Kernel, state: ReplicatedState) -> None:
        self._kernel = kernel
        self._state = state
        self._changed = Event()
        self._version = 0
        self._leader: str | None = None
        self._members = Members()

    def wake(self) -> None:
        """Says that something may have changed; does not wait."""
        if not self._changed.ready():
            self._changed.send()

    def run(self) -> None:
        """Publishes forever."""
        while True:
            self._changed.wait()
            self._changed = Event()
            self._publish_versions()
            self._publish_leader()
            self._publish_members()

    def _publish_versions(self) -> None:
        state = self._state.state
        while self._version < state.version:
            next_version = self._version + 1
            is_kept = self._version and state.at(next_version) is not None
            self._version = next_version if is_kept else state.version
            self._publish('configuration-accepted', version=self._version)

    def _publish_leader(self) -> None:
        leader = self._state.leader
        if leader != self._leader:
            self._leader = leader
            self._publish('leader-changed', leader=leader)

    def _publish_members(self) -> None:
        members = self._state.members()
        if members != self._members:
            self._members = members
            self._publish('members-changed', members=members)

    def _publish(self, event: str, **fields: object) -> None:
        try:
            self._kernel.publish(event, **fields)
        except Exception:
            # A handler at fault must not end the publication.
            logs.logger().exception('handler failed', kernel_event=event)
