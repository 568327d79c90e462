"""Control hosts in the administration API."""

from waxwingsaddle.api_endpoints import Endpoint, Request
from waxwingsaddle.api_models import Failure, Member, MemberBody, Members
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel

PATH = '/v1/members'


class MemberHandlers:
    """Handlers of `/v1/members`.

    Args:
        kernel: Has the service `replication`.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def get_members(self, _request: Request) -> Members:
        """Returns the control hosts."""
        return _members(self._kernel.find('replication'))

    def post_member(self, request: Request) -> Members | Failure:
        """Changes the control hosts."""
        change: MemberBody = request.body
        problem = _member_problem(change)
        if problem:
            return Failure(kind='bad-request', message=f'body: {problem}')
        replication = self._kernel.find('replication')
        refusal = replication.change_members(change)
        if refusal:
            return Failure(kind='refused', message=str(refusal))
        return _members(replication)


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
            'Returns the control hosts.',
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


def _members(replication) -> Members:
    members = tuple(
        Member(
            host=member.host,
            availability_zone=member.availability_zone,
            is_voter=member.is_voter,
            identity=member.identity,
            is_leader=member.is_leader,
        )
        for member in replication.members()
    )
    leaders = [member.host for member in members if member.is_leader]
    return Members(leader=leaders[0] if leaders else None, members=members)


def _member_problem(change: MemberBody) -> str | None:
    if change.action == 'add':
        if change.control_host is None:
            return 'control_host: the addresses of the new host are missing'
        if change.control_host.host != change.host:
            return 'control_host.host: differs from host'
    if change.action == 'replace' and change.replacement is None:
        return 'replacement: the learner that takes the place is missing'
    return None
