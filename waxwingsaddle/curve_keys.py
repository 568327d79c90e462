"""Keys of the sockets between our processes (CurveZMQ).

All processes of a deployment share one key pair. A process that lacks it can
neither connect nor be connected to: a client has to know the public key of
the server, which is never sent and stands in no file but the secret one.
"""

from pathlib import Path

import zmq

from waxwingsaddle.settings import SettingsError

KEY_CHARACTERS = 40


class _Keys:
    """Key pair of this process; without one, sockets are not protected."""

    def __init__(self) -> None:
        self.public = b''
        self.secret = b''


_keys = _Keys()


def load_key_file(settings_table: str, key_file: str) -> SettingsError | None:
    """Reads the key of this process, before any socket is opened.

    Args:
        settings_table: Name of the settings table, for the message.
        key_file: File written by `waxwingctl keys new`; empty for none.

    Returns:
        What is wrong with the file, if anything.
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
            f'expected a secret key of {KEY_CHARACTERS} characters, such as '
            '`waxwingctl keys new` writes',
        )
    _keys.public = zmq.curve_public(secret)
    _keys.secret = secret
    return None


def protect_server(server: zmq.Socket) -> None:
    """Makes a socket take only clients that have the key."""
    if _keys.secret:
        server.setsockopt(zmq.CURVE_SERVER, 1)
        server.setsockopt(zmq.CURVE_SECRETKEY, _keys.secret)


def protect_client(client: zmq.Socket) -> None:
    """Makes a socket connect only to servers that have the key."""
    if _keys.secret:
        client.setsockopt(zmq.CURVE_SERVERKEY, _keys.public)
        client.setsockopt(zmq.CURVE_PUBLICKEY, _keys.public)
        client.setsockopt(zmq.CURVE_SECRETKEY, _keys.secret)
