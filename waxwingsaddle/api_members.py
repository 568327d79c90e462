"""Members of the replicated log in the administration API."""

from waxwingsaddle.api_answers import edit_answer
from waxwingsaddle.api_endpoints import Endpoint, Request
from waxwingsaddle.api_models import Failure, Member, MemberBody, Members
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.membership import (
    AddLearner,
    Change,
    Promote,
    Remove,
    Replace,
)
from waxwingsaddle.outcomes import MembersChanged
from waxwingsaddle.raft_messages import Members as LogMembers
from waxwingsaddle.raft_messages import Replica

PATH = '/v1/members'


class MemberHandlers:
    """Handlers of `/v1/members`.

    Args:
        kernel: Has the service `replication`.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def get_members(self, _request: Request) -> Members:
        """Returns the members of the replicated log."""
        replication = self._kernel.find('replication')
        return _members_answer(replication.members(), replication.leader)

    def post_member(self, request: Request) -> Members | Failure:
        """Changes the members of the replicated log."""
        replication = self._kernel.find('replication')
        change = _parse_change(request.body, replication.members())
        if isinstance(change, Failure):
            return change
        outcome = replication.change_members(change)
        if isinstance(outcome, MembersChanged):
            return _members_answer(outcome.members, replication.leader)
        return edit_answer(outcome)


def endpoints(
    kernel: Kernel,
    _settings: ControlSettings,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints of the members."""
    handlers = MemberHandlers(kernel)
    return (
        Endpoint(
            'GET',
            PATH,
            'Returns the members of the replicated log.',
            handlers.get_members,
            Members,
        ),
        Endpoint(
            'POST',
            PATH,
            'Adds, promotes, removes or replaces a control host.',
            handlers.post_member,
            Members,
            MemberBody,
            need='manage',
        ),
    )


def _members_answer(members: LogMembers, leader: str | None) -> Members:
    return Members(
        leader=leader,
        members=tuple(
            Member(
                host=replica.host,
                identity=replica.identity,
                peer_address=replica.peer_address,
                is_voter=members.is_voter(replica.identity),
                is_leader=replica.host == leader
                and members.is_voter(replica.identity),
            )
            for replica in members
        ),
    )


def _parse_change(body: MemberBody, members: LogMembers) -> Change | Failure:
    if body.action == 'add':
        if body.identity and body.peer_address:
            replica = Replica(body.identity, body.host, body.peer_address)
            return AddLearner(replica)
        return _refused(
            'add needs identity and peer_address; a host that is started '
            'with an empty data folder joins without it',
        )
    if body.action == 'replace':
        return _parse_replacement(body, members)
    is_promotion = body.action == 'promote'
    candidates = members.learners if is_promotion else tuple(members)
    matching = [
        candidate for candidate in candidates if _matches(body, candidate)
    ]
    if len(matching) != 1:
        return _not_unique(body, matching, 'matching replicas')
    identity = matching[0].identity
    return Promote(identity) if is_promotion else Remove(identity)


def _matches(body: MemberBody, replica: Replica) -> bool:
    is_named = body.identity in {'', replica.identity}
    return is_named and replica.host == body.host


def _parse_replacement(
    body: MemberBody, members: LogMembers
) -> Change | Failure:
    voters = [voter for voter in members.voters if voter.host == body.host]
    learners = [
        learner for learner in members.learners if learner.host == body.host
    ]
    if len(voters) != 1:
        return _not_unique(body, voters, 'voters')
    if len(learners) != 1:
        return _not_unique(body, learners, 'learners')
    return Replace(voters[0].identity, learners[0].identity)


def _not_unique(
    body: MemberBody,
    matching: list[Replica],
    description: str,
) -> Failure:
    identities = ', '.join(replica.identity for replica in matching)
    hint = f': {identities}; name one identity' if matching else ''
    return _refused(
        f'host {body.host!r} has {len(matching)} {description}{hint}'
    )


def _refused(message: str) -> Failure:
    return Failure(kind='refused', message=message, problems=(message,))
