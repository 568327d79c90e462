"""Commands that generate key pairs and access tokens."""

from pathlib import Path

import msgspec
from cleo.helpers import argument, option

from waxwingsaddle import access
from waxwingsaddle.secret_files import write_secret
from waxwingsaddle.ui.ctl_base import CommandError, CtlCommand, ExitCode


class KeysNewCommand(CtlCommand):
    """Generates a CURVE key pair for messages between processes."""

    name = 'keys new'
    description = 'Generates a CURVE key pair, readable by its owner only.'
    arguments = [argument('key', 'Name of the key, such as the host.')]
    own_options = [
        option('folder', None, 'Where to write.', flag=False, default='.'),
    ]

    def run_command(self) -> ExitCode:
        """Writes the key pair to `NAME.key` and `NAME.key_secret`."""
        # Imported here, because no other command needs zmq.
        import zmq

        public, secret = zmq.curve_keypair()
        stem = Path(self.option('folder')) / self.argument('key')
        public_file = stem.with_name(f'{stem.name}.key')
        secret_file = stem.with_name(f'{stem.name}.key_secret')
        write_new(secret_file, b'%s\n' % secret)
        write_new(public_file, b'%s\n' % public)
        self.show(
            {
                'public_key': public.decode('ascii'),
                'public_file': str(public_file),
                'secret_file': str(secret_file),
            },
            [
                f'public key {public.decode("ascii")} in {public_file}',
                f'secret key in {secret_file}',
            ],
        )
        return ExitCode.done


class KeysTokenCommand(CtlCommand):
    """Generates a bearer token that is limited to services and sites."""

    name = 'keys token'
    description = 'Generates a bearer token and its entry for the settings.'
    arguments = [argument('holder', 'Name of the holder, such as a team.')]
    own_options = [
        option('service', None, 'Service in scope.', flag=False, multiple=True),
        option('site', None, 'Site in scope.', flag=False, multiple=True),
        option('write', None, 'Allows changes.'),
        option('file', None, 'Where to write the token.', flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Writes the token and prints its entry for the settings."""
        holder = self.argument('holder')
        try:
            generated = access.new_token(
                holder,
                tuple(self.option('service')) or (access.WILDCARD,),
                tuple(self.option('site')) or (access.WILDCARD,),
                self.option('write'),
            )
        except msgspec.ValidationError as error:
            raise CommandError(str(error), ExitCode.usage) from None
        file = Path(self.option('file') or f'{holder}.token')
        write_new(file, f'{generated.token}\n'.encode())
        entry = msgspec.to_builtins(generated.entry)
        self.show(
            {'file': str(file), 'entry': entry},
            [
                f'# The token is in {file}. Add this to the settings of all',
                '# control hosts and restart them one by one:',
                '[[control.tokens]]',
                *(f'{key} = {_encode_toml(entry[key])}' for key in entry),
            ],
        )
        return ExitCode.done


def write_new(path: Path, content: bytes) -> None:
    """Writes a new file that only its owner can read.

    Raises:
        CommandError: The file exists or can't be written.
    """
    try:
        write_secret(path, content)
    except OSError as error:
        raise CommandError(
            f'{path}: {error.strerror}; nothing was overwritten',
            ExitCode.usage,
        ) from None


def _encode_toml(plain: object) -> str:
    # JSON and TOML write strings, booleans and arrays of strings alike.
    return msgspec.json.encode(plain).decode()
