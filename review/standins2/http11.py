"""Small HTTP/1.1 client and reader, written for the stand-ins."""

import json
import socket
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response as read from a socket.

    Attributes:
        start: First line.
        fields: Header fields, with lower-case names.
        body: Body, as far as it was read.
        is_whole: Whether the whole message was read.
    """

    start: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = True

    @property
    def status(self):
        """Status of a response."""
        return int(self.start.split(' ')[1])


def read_message(stream, is_response=False):
    """Reads a message from a buffered stream; None if it ended before."""
    start = stream.readline()
    if not start:
        return None
    message = Message(start.decode('latin-1').strip())
    while (line := stream.readline()) not in {b'\r\n', b''}:
        name, _, text = line.decode('latin-1').partition(':')
        message.fields[name.lower()] = text.strip()
    if message.fields.get('transfer-encoding') == 'chunked':
        _read_chunks(stream, message)
    elif 'content-length' in message.fields:
        length = int(message.fields['content-length'])
        message.body = stream.read(length)
        message.is_whole = len(message.body) == length
    elif is_response:
        message.body = stream.read()
    return message


def _read_chunks(stream, message):
    message.is_whole = False
    while True:
        line = stream.readline()
        if not line:
            return
        size = int(line, 16)
        chunk = stream.read(size)
        message.body += chunk
        stream.readline()
        if len(chunk) < size:
            return
        if not size:
            message.is_whole = True
            return


def exchange(address, method, path, fields=(), body=b'', timeout_s=1.0):
    """Sends one request on a new connection; returns the response.

    Raises:
        OSError: There was no response in time.
    """
    with socket.create_connection(address, timeout_s) as sock:
        lines = [f'{method} {path} HTTP/1.1', 'Host: platform']
        lines += [f'{name}: {text}' for name, text in fields]
        lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
        sock.sendall('\r\n'.join(lines).encode('latin-1') + body)
        message = read_message(sock.makefile('rb'), is_response=True)
    if message is None:
        raise ConnectionError('closed without a response')
    return message


def exchange_json(address, method, path, document, timeout_s=1.0):
    """Like `exchange`, with a JSON body."""
    return exchange(
        address,
        method,
        path,
        [('Content-Type', 'application/json')],
        json.dumps(document).encode(),
        timeout_s,
    )
