"""Program `waxwingctl`: command line interface for operators."""

import sys

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand
from cleo.exceptions import CleoError

from waxwingsaddle import __version__
from waxwingsaddle.ui import (
    ctl_backup,
    ctl_edits,
    ctl_explain,
    ctl_fleet,
    ctl_keys,
    ctl_members,
    ctl_rollouts,
    ctl_timeline,
)
from waxwingsaddle.ui.ctl_base import ExitCode

COMMANDS = (
    ctl_edits.CheckCommand,
    ctl_edits.DiffCommand,
    ctl_edits.ApplyCommand,
    ctl_edits.HistoryCommand,
    ctl_fleet.StatusCommand,
    ctl_fleet.UpstreamsCommand,
    ctl_members.MembersCommand,
    ctl_members.AddCommand,
    ctl_members.PromoteCommand,
    ctl_members.RemoveCommand,
    ctl_members.ReplaceCommand,
    ctl_rollouts.RolloutStartCommand,
    ctl_rollouts.RolloutStatusCommand,
    ctl_timeline.TimelineCommand,
    ctl_explain.ExplainCommand,
    ctl_backup.BackupCommand,
    ctl_backup.RestoreCommand,
    ctl_keys.KeysNewCommand,
    ctl_keys.KeysTokenCommand,
    CompletionsCommand,
)


def application() -> Application:
    """Returns the command line application."""
    ctl = Application('waxwingctl', __version__)
    for command in COMMANDS:
        ctl.add(command())
    return ctl


def main() -> int:
    """Runs one command.

    Returns:
        The exit code, one of `ExitCode`.
    """
    ctl = application()
    ctl.auto_exits(False)
    ctl.catch_exceptions(False)
    try:
        return ctl.run()
    except CleoError as error:
        message = ' '.join(str(error).split())
        print(f'waxwingctl: {message}; see --help', file=sys.stderr)
        return ExitCode.usage
    except KeyboardInterrupt:
        return ExitCode.interrupted


if __name__ == '__main__':
    sys.exit(main())
