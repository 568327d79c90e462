"""Requests that only the leader can answer: edits, members, newest version."""

from waxwingsaddle import config
from waxwingsaddle.departure_records import (
    DeparturesStored,
    HostDepartures,
    encode_departures,
)
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
from waxwingsaddle.polling import wait_until
from waxwingsaddle.raft_driver import RaftDriver
from waxwingsaddle.rollout_entries import encode_start, services_of
from waxwingsaddle.rollout_models import (
    RolloutAccepted,
    RolloutStart,
)
from waxwingsaddle.rollout_orders import RolloutOutcome
from waxwingsaddle.util.clock import monotonic_s, wall_ms
from waxwingsaddle.voter_policy import OPERATORS_ONLY, VoterPolicy

NOT_LEADER = Unavailable(reason='not the leader')
IN_DOUBT = Unavailable(reason='the result is unknown')
SERVING_UNKNOWN = Unavailable(
    reason='the serving version of the service is not known yet'
)
NO_MAJORITY = Unavailable(reason='no contact with a majority')
TOO_FEW_VOTERS = Unavailable(
    reason='too few voters to bear the tolerated losses'
)


class LeaderRequests:
    """Answers requests on the host whose replica is the leader.

    Args:
        driver: Runs the replica of this host.
        voter_policy: Which voters the log needs before it accepts edits.
    """

    def __init__(
        self,
        driver: RaftDriver,
        voter_policy: VoterPolicy = OPERATORS_ONLY,
    ) -> None:
        self._driver = driver
        self._voter_policy = voter_policy

    def decide_edit(self, edit: Edit, budget_s: float) -> Outcome:
        """Accepts or refuses an edit.

        Args:
            edit: The edit.
            budget_s: Seconds to wait for the outcome.

        Returns:
            The outcome; `Unavailable` if it is unknown in time or this host
            is not the leader.
        """
        deadline_s = monotonic_s() + budget_s
        checked = config.check_sources(edit.sources)
        if isinstance(checked, config.Refused):
            return Refused(problems=checked.problems)
        if not self._wait_established(deadline_s):
            return NOT_LEADER
        # What is accepted with fewer voters could be lost with their disks.
        if not self._wait_enough_voters(deadline_s):
            return TOO_FEW_VOTERS
        state = self._driver.state
        outcome = _verdict(state, edit, checked)
        if not isinstance(outcome, Accepted | None):
            # A leader that does not know yet that it was replaced may not
            # have the newest version, so a refusal needs proof that it still
            # leads. An edit that it knows as accepted stays accepted.
            if not self._wait_majority_contact(monotonic_s(), deadline_s):
                return NO_MAJORITY
            outcome = _verdict(state, edit, checked)
        if outcome is not None:
            return outcome
        command = state.encode_entry(edit, checked, wall_ms())
        proposal = self._driver.propose(command)
        if proposal is None:
            return NOT_LEADER
        return proposal.wait(deadline_s - monotonic_s()) or IN_DOUBT

    def read_newest(
        self, _request: None, budget_s: float
    ) -> Newest | Unavailable:
        """Returns the newest version, confirmed by a majority.

        Args:
            _request: Unused; the forwarded form of the request has no body.
            budget_s: Seconds to wait for the confirmation.

        Returns:
            The version; `Unavailable` if no majority confirms in time that
            this host still leads.
        """
        requested_s = monotonic_s()
        deadline_s = requested_s + budget_s
        is_confirmed = self._wait_established(
            deadline_s
        ) and self._wait_majority_contact(
            requested_s,
            deadline_s,
        )
        if not is_confirmed:
            return NO_MAJORITY
        state = self._driver.state
        return Newest(
            version=state.version,
            changes=state.rollouts.changes,
            departures=state.departures.changes,
        )

    def decide_rollout(
        self, request: RolloutStart, budget_s: float
    ) -> RolloutOutcome | Unavailable:
        """Starts a rollout or refuses it.

        Args:
            request: The order and the version that serves now.
            budget_s: Seconds to wait for the outcome.

        Returns:
            The outcome; `Unavailable` if it is unknown in time or this host
            is not the leader.
        """
        deadline_s = monotonic_s() + budget_s
        if not self._wait_established(deadline_s):
            return NOT_LEADER
        if not self._wait_enough_voters(deadline_s):
            return TOO_FEW_VOTERS
        state = self._driver.state
        outcome = _rollout_verdict(state, request)
        if not isinstance(outcome, RolloutAccepted | None):
            # As for edits: a leader that was replaced may be behind.
            if not self._wait_majority_contact(monotonic_s(), deadline_s):
                return NO_MAJORITY
            outcome = _rollout_verdict(state, request)
        if outcome is not None:
            return outcome
        base_version = request.base_version or state.rollouts.base_version(
            request.order.service
        )
        if not base_version:
            return SERVING_UNKNOWN
        command = encode_start(request.order, base_version, wall_ms())
        proposal = self._driver.propose(command)
        if proposal is None:
            return NOT_LEADER
        return proposal.wait(deadline_s - monotonic_s()) or IN_DOUBT

    def commit_rollout(
        self, command: bytes, budget_s: float
    ) -> RolloutOutcome | Unavailable:
        """Appends an entry of `rollout_entries` to the log.

        Args:
            command: The entry.
            budget_s: Seconds to wait until it is committed.
        """
        proposal = None
        if self._is_established():
            proposal = self._driver.propose(command)
        if proposal is None:
            return NOT_LEADER
        return proposal.wait(budget_s) or IN_DOUBT

    def store_departures(
        self, hosts: tuple[HostDepartures, ...], budget_s: float
    ) -> DeparturesStored | Unavailable:
        """Stores departures of upstreams.

        Args:
            hosts: The departures by host, with times since the epoch.
            budget_s: Seconds to wait until they are committed.
        """
        deadline_s = monotonic_s() + budget_s
        if not self._wait_established(deadline_s):
            return NOT_LEADER
        if not self._wait_enough_voters(deadline_s):
            return TOO_FEW_VOTERS
        proposal = self._driver.propose(encode_departures(hosts))
        if proposal is None:
            return NOT_LEADER
        return proposal.wait(deadline_s - monotonic_s()) or IN_DOUBT

    def change_members(
        self,
        change: Change,
        budget_s: float,
    ) -> MembersChanged | Refused | Unavailable:
        """Applies a change of members.

        Args:
            change: The change.
            budget_s: Seconds to wait until it is committed.

        Returns:
            The new members; `Refused` if the change does not apply;
            `Unavailable` if the result is unknown in time, another change is
            in progress, or this host is not the leader.
        """
        deadline_s = monotonic_s() + budget_s
        if not self._wait_established(deadline_s):
            return NOT_LEADER
        try:
            proposal = self._driver.change_members(change)
        except MembershipError as error:
            return Refused(problems=(str(error),))
        if proposal is None:
            return Unavailable(reason='another change of members in progress')
        members = proposal.wait(deadline_s - monotonic_s())
        return IN_DOUBT if members is None else MembersChanged(members=members)

    def _wait_established(self, deadline_s: float) -> bool:
        """Waits until this leader has committed an entry of its term."""
        wait_until(
            lambda: self._is_established() or not self._driver.is_leader,
            deadline_s - monotonic_s(),
        )
        return self._is_established()

    def _wait_enough_voters(self, deadline_s: float) -> bool:
        """Waits until the voters can bear the tolerated losses."""
        return wait_until(
            lambda: self._voter_policy.is_satisfied(
                self._driver.raft.members, self._is_lost
            ),
            deadline_s - monotonic_s(),
        )

    def _is_lost(self, identity: str) -> bool:
        silence_s = self._driver.raft.silence_s(identity)
        return silence_s > self._voter_policy.lost_after_s

    def _wait_majority_contact(
        self, requested_s: float, deadline_s: float
    ) -> bool:
        """Waits until a majority confirms that this host led at a time."""
        return wait_until(
            lambda: self._has_contact_since(requested_s),
            deadline_s - monotonic_s(),
        )

    def _is_established(self) -> bool:
        driver = self._driver
        is_established = driver.is_leader and driver.raft.is_established_leader
        # Another green thread applies committed entries a moment later.
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
        return state.decide_document(checked)
    return state.decide_version(
        checked.version, checked.digest, edit.is_restore
    )


def _rollout_verdict(
    state: EditState, request: RolloutStart
) -> RolloutOutcome | None:
    return state.rollouts.decide(request.order, services_of(state.sites))
