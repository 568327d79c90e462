"""Control hosts in the administration API."""

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
        return _described(replication.members(), replication.leader)

    def post_member(self, request: Request) -> Members | Failure:
        """Changes the members of the replicated log."""
        replication = self._kernel.find('replication')
        change = _change(request.body, replication.members())
        if isinstance(change, Failure):
            return change
        outcome = replication.change_members(change)
        if isinstance(outcome, MembersChanged):
            return _described(outcome.members, replication.leader)
        return edit_answer(outcome)


def endpoints(
    kernel: Kernel,
    _settings: ControlSettings,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints about control hosts."""
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


def _described(members: LogMembers, leader: str | None) -> Members:
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


def _change(body: MemberBody, members: LogMembers) -> Change | Failure:
    if body.action == 'add':
        if body.identity and body.peer_address:
            replica = Replica(body.identity, body.host, body.peer_address)
            return AddLearner(replica)
        return _bad(
            'add takes identity and peer_address; a host that is started '
            'with an empty data folder is added without this',
        )
    if body.action == 'replace':
        return _replacement(body, members)
    is_promotion = body.action == 'promote'
    candidates = members.learners if is_promotion else tuple(members)
    found = [one for one in candidates if _is_meant(body, one)]
    if len(found) != 1:
        return _not_one(body, found, 'replicas that can do this')
    identity = found[0].identity
    return Promote(identity) if is_promotion else Remove(identity)


def _is_meant(body: MemberBody, replica: Replica) -> bool:
    is_named = body.identity in {'', replica.identity}
    return is_named and replica.host == body.host


def _replacement(body: MemberBody, members: LogMembers) -> Change | Failure:
    ended = [one for one in members.voters if one.host == body.host]
    learners = [one for one in members.learners if one.host == body.host]
    if len(ended) != 1:
        return _not_one(body, ended, 'voters')
    if len(learners) != 1:
        return _not_one(body, learners, 'learners')
    return Replace(ended[0].identity, learners[0].identity)


def _not_one(
    body: MemberBody,
    found: list[Replica],
    what: str,
) -> Failure:
    named = ', '.join(replica.identity for replica in found)
    hint = f': {named}; name one identity' if found else ''
    return _bad(f'host {body.host!r} has {len(found)} {what}{hint}')


def _bad(message: str) -> Failure:
    return Failure(kind='refused', message=message, problems=(message,))
