"""Commands that back up and restore accepted configurations."""

from pathlib import Path

import msgspec
from cleo.helpers import argument

from waxwingsaddle.api_models import Backup
from waxwingsaddle.ui.ctl_base import CommandError, CtlCommand, ExitCode
from waxwingsaddle.ui.ctl_keys import write_new
from waxwingsaddle.util.codec import json_decoder, pack_json


class BackupCommand(CtlCommand):
    """Writes all accepted configurations to a file."""

    name = 'backup'
    description = 'Writes all accepted configurations into a new file.'
    arguments = [argument('file', 'The file to write.')]

    def run_command(self) -> ExitCode:
        """Writes the backup to a new file that only its owner can read."""
        backup = self.require_success(
            self.client(self.load_settings()).backup()
        )
        file = Path(self.argument('file'))
        write_new(file, pack_json(backup))
        first, last = backup.versions[0].version, backup.versions[-1].version
        self.show(
            {'file': str(file), 'first': first, 'last': last},
            [f'versions {first} to {last} written to {file}'],
        )
        return ExitCode.done


class RestoreCommand(CtlCommand):
    """Restores the accepted configurations from a backup."""

    name = 'restore'
    description = 'Makes the last version of a backup the accepted one.'
    arguments = [argument('file', 'The file to read.')]

    def run_command(self) -> ExitCode:
        """Sends the backup to a control host."""
        file = Path(self.argument('file'))
        try:
            backup = json_decoder(Backup)(file.read_bytes())
        except OSError as error:
            raise CommandError(
                f'{file}: {error.strerror}',
                ExitCode.usage,
            ) from None
        except (msgspec.DecodeError, RecursionError) as error:
            raise CommandError(
                f'{file}: no backup: {error}',
                ExitCode.refused,
            ) from None
        restored = self.require_success(
            self.client(self.load_settings()).restore(backup),
        )
        self.show(
            restored,
            [
                f'version {restored.version} is accepted, '
                f'{restored.submitted} versions added',
            ],
        )
        return ExitCode.done
