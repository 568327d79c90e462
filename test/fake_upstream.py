"""Stand-in upstream that journals every execution, for tests.

`GET|POST /PATH?id=ID&wait_ms=N&bytes=N` answers after the wait with so many
bytes, in HTTP chunks with `unsized=1`. The journal file gets one line
`begin ID`, `end ID` or `cut ID` each.
"""

from waxwingsaddle import ui  # noqa: F401  isort:skip

import hashlib
import sys
from urllib.parse import parse_qsl

from eventlet import Timeout, hubs, listen, wsgi

from waxwingsaddle import green

BLOCK_BYTES = 65_536


class Upstream:
    """WSGI application."""

    def __init__(self, journal):
        self._journal = journal

    def _write_journal(self, kind, identifier):
        self._journal.write(f'{kind} {identifier}\n')
        self._journal.flush()

    def __call__(self, environ, start_response):
        """Executes one call."""
        query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
        identifier = query.get('id', '-')
        self._write_journal('begin', identifier)
        body = environ['wsgi.input'].read()
        wait_s = int(query.get('wait_ms', 0)) / 1000
        if wait_s and self._is_cut_off(environ, wait_s):
            self._write_journal('cut', identifier)
            return []
        size = int(query.get('bytes', 0))
        headers = [
            ('X-Id', identifier),
            ('X-Deadline', environ.get('HTTP_WAXWING_DEADLINE_MS', '')),
            ('X-Body-Digest', hashlib.sha256(body).hexdigest()),
        ]
        self._write_journal('end', identifier)
        if not size:
            start_response('200 OK', headers)
            return [identifier.encode()]
        if 'unsized' not in query:
            headers.append(('Content-Length', str(size)))
        start_response('200 OK', headers)
        return pieces(size, identifier)

    def _is_cut_off(self, environ, wait_s):
        sock = environ['eventlet.input'].get_socket()
        try:
            hubs.trampoline(sock, read=True, timeout=wait_s)
        except Timeout:
            return False
        return True


def pieces(size, identifier):
    """Yields a body of this size that differs by identifier."""
    seed = hashlib.sha256(identifier.encode()).digest()
    block = seed * (BLOCK_BYTES // len(seed))
    for start in range(0, size, BLOCK_BYTES):
        yield block[: min(BLOCK_BYTES, size - start)]


def main():
    """Serves on the address of the first argument."""
    green.patch()
    ip, _, port = sys.argv[1].rpartition(':')
    with open(sys.argv[2], 'a', encoding='utf-8') as journal:
        wsgi.server(
            listen((ip, int(port)), backlog=1024),
            Upstream(journal),
            log_output=False,
        )


if __name__ == '__main__':
    main()
