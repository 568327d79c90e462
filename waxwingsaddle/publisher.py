"""Publishes changes of the replicated state as kernel events."""

from typing import Protocol

from eventlet.event import Event

from waxwingsaddle import logs
from waxwingsaddle.edits import EditState
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.raft_messages import Members


class ReplicatedState(Protocol):
    """Replicated state whose changes are published."""

    state: EditState

    @property
    def leader(self) -> str | None:
        """Name of the host that leads, None if unknown."""

    def members(self) -> Members:
        """Returns the newest members in the log of this host."""


class Publisher:
    """Publishes events from its own green thread, so that handlers may block.

    The events are `configuration-accepted` (`version`), `leader-changed`
    (`leader`, a host name or None), `members-changed` (`members`) and
    `rollouts-changed` (`changes`, the number of changes so far). Of several
    versions that arrive in a snapshot, or before the start, only the
    newest is published.

    Args:
        kernel: Receives the events.
        replication: The replicated state.
    """

    def __init__(self, kernel: Kernel, replication: ReplicatedState) -> None:
        self._kernel = kernel
        self._replication = replication
        self._changed = Event()
        self._version = 0
        self._rollout_changes = 0
        self._leader: str | None = None
        self._members = Members()

    def wake(self) -> None:
        """Wakes the green thread because the state may have changed."""
        if not self._changed.ready():
            self._changed.send()

    def run(self) -> None:
        """Publishes changes until the green thread is killed."""
        while True:
            self._changed.wait()
            self._changed = Event()
            self._publish_versions()
            self._publish_rollouts()
            self._publish_leader()
            self._publish_members()

    def _publish_versions(self) -> None:
        state = self._replication.state
        while self._version < state.version:
            next_version = self._version + 1
            is_kept = (
                self._version and state.stored_version(next_version) is not None
            )
            self._version = next_version if is_kept else state.version
            logs.logger().info('configuration accepted', version=self._version)
            self._publish('configuration-accepted', version=self._version)

    def _publish_rollouts(self) -> None:
        changes = self._replication.state.rollouts.changes
        if changes != self._rollout_changes:
            self._rollout_changes = changes
            self._publish('rollouts-changed', changes=changes)

    def _publish_leader(self) -> None:
        leader = self._replication.leader
        if leader != self._leader:
            self._leader = leader
            logs.logger().info('leader changed', leader=leader)
            self._publish('leader-changed', leader=leader)

    def _publish_members(self) -> None:
        members = self._replication.members()
        if members != self._members:
            self._members = members
            self._publish('members-changed', members=members)

    def _publish(self, event: str, **fields: object) -> None:
        try:
            self._kernel.publish(event, **fields)
        except Exception:
            # An exception in a handler must not stop the publisher.
            logs.logger().exception('event handler failed', kernel_event=event)
