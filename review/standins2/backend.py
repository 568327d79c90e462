"""Stand-in backend: serves requests and sends heartbeats, as the pages say."""

import socket
import threading
import time
from contextlib import suppress

from standins2.http11 import exchange_json, read_message

HEARTBEAT_S = 1.5
SEAL = 'X-Waxwingsaddle-Response-Seal: 1.1.1.1.0.1'
ID_FIELD = 'x-waxwingsaddle-request-id'


class Backend:
    """A backend beside a node.

    Args:
        platform: The platform, which keeps the record.
        machine: Machine of the node.
        name: Its `id`.
        work_s: Function that returns the work of a request, in seconds.
        body: Function that returns the body of the response to a request.

    Attributes:
        runs: Time, request id and path of each request that it ran.
        born: Unix millisecond of its start.
        state: State that its heartbeats report.
        late_bytes: Bytes that it writes before each response on a connection
            that is kept, except the first; empty if it is sound.
        late_one_in: Writes them before one in so many of these responses.
        is_full: Whether it refuses the next request.
        refusal: The last refusal that it has sent; empty before any.
    """

    def __init__(self, platform, machine, name, work_s, body=None):
        self._platform = platform
        self.machine = machine
        self.name = name
        self._work_s = work_s
        self._body = body or (lambda _path: b'answer')
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.late_bytes = b''
        self.late_one_in = 1
        self._kept_answers = 0
        self.is_full = False
        self.refusal = b''
        self.sequence = 0
        self.runs = []
        self.answered = []
        self._lock = threading.Lock()
        self._is_ended = False
        self._is_beating = True
        self._connections = []
        self._listener = socket.create_server(
            machine.address('app'), backlog=256
        )

    def start(self):
        """Serves requests and sends heartbeats in threads."""
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat_forever, daemon=True).start()

    def document(self, **changes):
        """Returns the body of a heartbeat."""
        host, port = self.machine.address('app')
        return {
            'address': f'{host}:{port}',
            'born': self.born,
            'info': {
                'service': self.machine.service,
                'version': 'v1',
                'zone': self.machine.zone,
                'slots': 13,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'warmupLeft': '0ms',
            },
            **changes,
        }

    def beat(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        path = f'/v1/instances/{self.name}/heartbeat'
        try:
            reply = exchange_json(
                self.machine.address('control'), 'POST', path, self.document()
            )
        except OSError:
            return False
        if self.state != 'ready':
            self._platform.note(
                'heartbeat', id=self.name, state=self.state, status=reply.status
            )
        return 200 <= reply.status < 300

    @property
    def is_serving(self):
        """Whether it has not exited."""
        return not self._is_ended

    def stop_heartbeats(self):
        """Ends the heartbeats, as before a deregistration."""
        self._is_beating = False
        time.sleep(0.2)

    def end(self):
        """Ends the backend like the exit of its process."""
        self._is_ended = True
        self._platform.note('backend-exits', id=self.name)
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self._connections:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _beat_forever(self):
        while self._is_beating and not self._is_ended:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def _accept(self):
        while not self._is_ended:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.append(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        with suppress(OSError, ValueError), sock, sock.makefile('rb') as stream:
            is_kept = False
            while not self._is_ended and (request := read_message(stream)):
                if not request.is_whole:
                    return
                answer = self._answer(request)
                sock.sendall(self._next_late(is_kept) + answer)
                is_kept = True

    def _next_late(self, is_kept):
        with self._lock:
            if not (is_kept and self.late_bytes):
                return b''
            self._kept_answers += 1
            is_spoilt = self._kept_answers % self.late_one_in == 0
        return self.late_bytes if is_spoilt else b''

    def _answer(self, request):
        method, path, _ = request.start.split(' ')
        identifier = request.fields.get(ID_FIELD, '')
        expected = request.fields.get('x-waxwingsaddle-expect-instance')
        own = f'X-Waxwingsaddle-Request-Id: {identifier}\r\n'
        if method == 'GET' and path == '/health':
            status = 200 if self.state == 'ready' else 503
            return (
                f'HTTP/1.1 {status} Health\r\nContent-Length: 0\r\n'
                f'X-Waxwingsaddle-Instance-Id: {self.name}\r\n\r\n'
            ).encode()
        if expected not in {None, self.name}:
            return (
                f'HTTP/1.1 421 Misdirected Request\r\n{own}'
                f'X-Waxwingsaddle-Instance-Id: {self.name}\r\n'
                'Content-Length: 0\r\n\r\n'
            ).encode()
        if self.is_full:
            self.is_full = False
            self.refusal = self._refuse(own)
            return self.refusal
        with self._lock:
            self.runs.append((time.monotonic(), identifier, path))
        self._platform.note('run', id=self.name, request=identifier, path=path)
        time.sleep(self._work_s(path))
        body = self._body(path)
        with self._lock:
            self.answered.append(identifier)
        head = (
            f'HTTP/1.1 200 OK\r\n{own}{SEAL}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body

    def _refuse(self, own):
        self._platform.note('refuse', id=self.name, field=own.strip())
        return (
            'HTTP/1.1 503 Service Unavailable\r\n'
            f'X-Waxwingsaddle-Not-Executed: 1\r\n{own}'
            'Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n'
        ).encode()
