"""Decides edits and changes of members as leader of the log."""

from collections.abc import Callable

from eventlet import greenthread

from waxwingsaddle import config
from waxwingsaddle.edits import EditState
from waxwingsaddle.membership import Change, MembershipError
from waxwingsaddle.outcomes import (
    Accepted,
    Edit,
    MembersChanged,
    Newest,
    Outcome,
    Refused,
    Unavailable,
)
from waxwingsaddle.raft_driver import RaftDriver
from waxwingsaddle.util.clock import monotonic_s, wall_ms

# Pause between looks at a state that nobody signals, such as a new leader.
POLL_INTERVAL_S = 0.02
NOT_LEADER = Unavailable(reason='not the leader')
IN_DOUBT = Unavailable(reason='the result is not known')


class LeaderRequests:
    """Answers requests on the host that leads.

    Args:
        driver: Runs the replica of this host.
    """

    def __init__(self, driver: RaftDriver) -> None:
        self._driver = driver

    def decide_edit(self, edit: Edit, budget_s: float) -> Outcome:
        """Decides an edit within some seconds."""
        deadline_s = monotonic_s() + budget_s
        checked = config.check_sources(edit.sources)
        if isinstance(checked, config.Refused):
            return Refused(problems=checked.problems)
        if not self._wait_established(deadline_s):
            return NOT_LEADER
        state = self._driver.state
        verdict = _verdict(state, edit, checked)
        if not isinstance(verdict, Accepted | None):
            # A leader that was replaced unawares may not know the newest
            # version; what it knows as accepted stays true.
            if not self._wait_majority_contact(monotonic_s(), deadline_s):
                return Unavailable(reason='no contact with a majority')
            verdict = _verdict(state, edit, checked)
        if verdict is not None:
            return verdict
        command = state.entry(edit, checked, wall_ms())
        proposal = self._driver.propose(command)
        if proposal is None:
            return NOT_LEADER
        return proposal.wait(deadline_s - monotonic_s()) or IN_DOUBT

    def read_newest(
        self, _request: None, budget_s: float
    ) -> Newest | Unavailable:
        """Proves within some seconds which version is the newest."""
        requested_s = monotonic_s()
        deadline_s = requested_s + budget_s
        is_confirmed = self._wait_established(
            deadline_s
        ) and self._wait_majority_contact(
            requested_s,
            deadline_s,
        )
        if not is_confirmed:
            return Unavailable(reason='no contact with a majority')
        return Newest(version=self._driver.state.version)

    def change_members(
        self,
        change: Change,
        budget_s: float,
    ) -> MembersChanged | Refused | Unavailable:
        """Decides a change of members within some seconds."""
        deadline_s = monotonic_s() + budget_s
        if not self._wait_established(deadline_s):
            return NOT_LEADER
        try:
            proposal = self._driver.change_members(change)
        except MembershipError as error:
            return Refused(problems=(str(error),))
        if proposal is None:
            return Unavailable(reason='another change of members is under way')
        members = proposal.wait(deadline_s - monotonic_s())
        return IN_DOUBT if members is None else MembersChanged(members=members)

    def _wait_established(self, deadline_s: float) -> bool:
        """Waits until an entry of this leader's term is committed."""
        wait_until(
            lambda: self._is_established() or not self._driver.is_leader,
            deadline_s - monotonic_s(),
        )
        return self._is_established()

    def _wait_majority_contact(
        self, requested_s: float, deadline_s: float
    ) -> bool:
        """Waits for a proof that this host led at a time."""
        return wait_until(
            lambda: self._has_contact_since(requested_s),
            deadline_s - monotonic_s(),
        )

    def _is_established(self) -> bool:
        driver = self._driver
        is_established = driver.is_leader and driver.raft.is_established_leader
        # What is committed is applied by another green thread a moment later.
        return is_established and driver.applied_index >= driver.raft.log.commit

    def _has_contact_since(self, requested_s: float) -> bool:
        majority_contact_s = self._driver.raft.majority_contact_s
        return self._is_established() and majority_contact_s >= requested_s


def _verdict(
    state: EditState,
    edit: Edit,
    checked: config.CheckedSources,
) -> Outcome | None:
    if checked.number:
        return state.document_verdict(checked)
    return state.verdict(checked.version, checked.digest, edit.is_restore)


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Waits in this green thread; false when the condition never held."""
    deadline_s = monotonic_s() + timeout_s
    while not condition():
        if monotonic_s() >= deadline_s:
            return False
        greenthread.sleep(POLL_INTERVAL_S)
    return True
