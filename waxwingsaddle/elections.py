"""Leader elections: pre-votes, votes and the replies to both."""

from collections.abc import Callable

from waxwingsaddle.progress import majority_size
from waxwingsaddle.raft_messages import Vote, VoteReply, VoteRequest
from waxwingsaddle.raft_state import RaftState, Role


class Elections:
    """Candidate and voter side of the elections of one replica.

    Args:
        state: State shared by the roles of the replica.
        on_won: Called when a majority has voted for this replica.
    """

    def __init__(self, state: RaftState, on_won: Callable[[], None]) -> None:
        self._state = state
        self._on_won = on_won
        self._granted_by: set[str] = set()

    def tick(self) -> None:
        """Starts a pre-vote once the election timeout has passed."""
        state = self._state
        if state.now_s < state.election_deadline_s:
            return
        state.reset_election_timer()
        if state.is_voter:
            self._request_votes(Role.pre_candidate, is_forced=False)

    def campaign(self, *, is_forced: bool) -> None:
        """Starts an election in a new term.

        Args:
            is_forced: Whether voters shall vote although the old leader, who
                asked for the election, is still alive.
        """
        state = self._state
        if not state.is_voter:
            return
        state.set_vote(Vote(state.term + 1, state.identity))
        state.leader = None
        state.reset_election_timer()
        self._request_votes(Role.candidate, is_forced=is_forced)

    def on_vote_request(self, request: VoteRequest) -> None:
        """Grants or denies a vote.

        A replica that has a live leader ignores requests, so that a replica
        that is partitioned from the leader can not disrupt a working term.
        """
        state = self._state
        is_newer = request.term > state.term
        if is_newer and state.has_live_leader and not request.is_forced:
            return
        if request.is_pre:
            self._reply(request, is_newer and self._is_up_to_date(request))
            return
        if is_newer:
            state.become_follower(request.term, leader=None)
        can_vote = state.vote.voted_for in {None, request.source}
        is_granted = (
            request.term == state.term
            and can_vote
            and self._is_up_to_date(request)
        )
        if is_granted:
            state.set_vote(Vote(state.term, request.source))
            state.reset_election_timer()
        self._reply(request, is_granted)

    def on_vote_reply(self, reply: VoteReply) -> None:
        """Counts a vote; a majority starts the election or wins it."""
        state = self._state
        if not reply.is_granted:
            if reply.term > state.term:
                state.become_follower(reply.term, leader=None)
            return
        expected_role = Role.pre_candidate if reply.is_pre else Role.candidate
        expected_term = state.term + 1 if reply.is_pre else state.term
        if state.role is expected_role and reply.term == expected_term:
            self._granted_by.add(reply.source)
            self._check_majority()

    def _request_votes(self, role: Role, *, is_forced: bool) -> None:
        state = self._state
        state.role = role
        self._granted_by = {state.identity}
        is_pre = role is Role.pre_candidate
        state.outbox.extend(
            VoteRequest(
                source=state.identity,
                target=voter.identity,
                term=state.term + 1 if is_pre else state.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                is_pre=is_pre,
                is_forced=is_forced,
            )
            for voter in state.log.members.voters
            if voter.identity != state.identity
        )
        self._check_majority()

    def _check_majority(self) -> None:
        state = self._state
        voters = state.log.members.voters
        votes = sum(voter.identity in self._granted_by for voter in voters)
        if votes < majority_size(len(voters)):
            return
        if state.role is Role.pre_candidate:
            self.campaign(is_forced=False)
        elif state.role is Role.candidate:
            self._on_won()

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        return (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )

    def _reply(self, request: VoteRequest, is_granted: bool) -> None:
        state = self._state
        is_granted_pre = request.is_pre and is_granted
        state.outbox.append(
            VoteReply(
                source=state.identity,
                target=request.source,
                term=request.term if is_granted_pre else state.term,
                is_pre=request.is_pre,
                is_granted=is_granted,
            ),
        )
