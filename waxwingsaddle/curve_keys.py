"""CurveZMQ keys of the sockets between processes of a deployment.

All processes of a deployment share one key pair. A process without it can
neither connect nor accept connections: a client must know the public key of
the server, which is never sent and is in no file except that of the secret
key.
"""

from pathlib import Path

import zmq

from waxwingsaddle.settings import SettingsError

KEY_CHARACTERS = 40


class _Keys:
    """Key pair of this process; if empty, sockets are not protected."""

    def __init__(self) -> None:
        self.public = b''
        self.secret = b''


_keys = _Keys()


def load_key_file(settings_table: str, key_file: str) -> SettingsError | None:
    """Loads the key of this process; must precede opening any socket.

    Args:
        settings_table: Name of the settings table, for the error message.
        key_file: Path of a file written by `waxwingctl keys new`; empty to
            leave sockets unprotected.

    Returns:
        The error if the file cannot be used, else None.
    """
    if not key_file:
        return None
    try:
        secret = Path(key_file).read_bytes().strip()
    except OSError as error:
        problem = error.strerror or str(error)
        return SettingsError(key_file, f'{settings_table}.key_file', problem)
    if len(secret) != KEY_CHARACTERS:
        return SettingsError(
            key_file,
            f'{settings_table}.key_file',
            f'expected a secret key of {KEY_CHARACTERS} characters, as '
            'written by `waxwingctl keys new`',
        )
    _keys.public = zmq.curve_public(secret)
    _keys.secret = secret
    return None


def protect_server(server: zmq.Socket) -> None:
    """Makes a socket accept only clients that have the key."""
    if _keys.secret:
        server.setsockopt(zmq.CURVE_SERVER, 1)
        server.setsockopt(zmq.CURVE_SECRETKEY, _keys.secret)


def protect_client(client: zmq.Socket) -> None:
    """Makes a socket connect only to servers that have the key."""
    if _keys.secret:
        client.setsockopt(zmq.CURVE_SERVERKEY, _keys.public)
        client.setsockopt(zmq.CURVE_PUBLICKEY, _keys.public)
        client.setsockopt(zmq.CURVE_SECRETKEY, _keys.secret)
