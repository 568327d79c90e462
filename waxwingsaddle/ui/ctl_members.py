"""Commands for the membership of control hosts."""

from typing import ClassVar, Literal

from cleo.helpers import argument, option

from waxwingsaddle.api_models import Member, MemberBody, Members
from waxwingsaddle.ui.ctl_base import CtlCommand, ExitCode


class MembersCommand(CtlCommand):
    """Lists the members of the replicated log."""

    name = 'members'
    description = 'Lists the control hosts that hold the log.'

    def run_command(self) -> ExitCode:
        """Prints one line per member."""
        answer = self.require_success(
            self.client(self.load_settings()).members()
        )
        self.show_members(answer)
        return ExitCode.done

    def show_members(self, answer: Members) -> None:
        """Prints the members."""
        self.show(answer, map(_format_member, answer.members))


class ChangeCommand(MembersCommand):
    """Base of the commands that change the membership."""

    name = 'members change'
    action: ClassVar[Literal['add', 'promote', 'remove', 'replace']]
    arguments = [argument('control-host', 'The control host.')]
    own_options = [
        option(
            'identity',
            None,
            'Identity, if the host has two replicas.',
            flag=False,
        ),
        option('peer', None, 'Address for control hosts (add).', flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Requests the change and prints the resulting members."""
        change = MemberBody(
            action=self.action,
            host=self.argument('control-host'),
            identity=self.option('identity') or '',
            peer_address=self.option('peer'),
        )
        client = self.client(self.load_settings())
        self.show_members(self.require_success(client.change_members(change)))
        return ExitCode.done


class AddCommand(ChangeCommand):
    """Adds a control host as a learner."""

    name = 'members add'
    action = 'add'
    description = 'Adds a learner; hosts with an empty folder add themselves.'


class PromoteCommand(ChangeCommand):
    """Makes a learner a voter."""

    name = 'members promote'
    action = 'promote'
    description = 'Gives a learner that has caught up a vote.'


class RemoveCommand(ChangeCommand):
    """Removes a control host."""

    name = 'members remove'
    action = 'remove'
    description = 'Removes a control host; stop its program first.'


class ReplaceCommand(ChangeCommand):
    """Replaces a lost replica of a host with the learner of that host."""

    name = 'members replace'
    action = 'replace'
    description = 'Gives the vote of a lost disk to the learner of its host.'


def _format_member(member: Member) -> str:
    role = 'voter' if member.is_voter else 'learner'
    mark = ' (leader)' if member.is_leader else ''
    return (
        f'{member.host:16} {role:8} {member.identity} '
        f'{member.peer_address}{mark}'
    )
