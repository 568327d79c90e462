"""Stand-in for a backend of the pages, next to one node."""

import json
import socket
import threading
import time
import uuid

from standins.deployment import Deployment, http

_BEAT_S = 1.5


class Upstream:
    """A backend: serves HTTP/1.1, sends heartbeats, records what it runs.

    Args:
        deployment: The deployment.
        machine: Machine beside whose node it runs.
        service: Its service.
        work_s: How long it works on each request.
        answer: Optional function that writes the answer itself; gets the
            upstream, the connection and the request.
    """

    def __init__(
        self,
        deployment: Deployment,
        machine: str,
        service: str,
        work_s: float = 0.01,
        answer=None,
        slots: int = 13,
    ) -> None:
        self._deployment = deployment
        self._machine = machine
        self.service = service
        self.name = f'i-{uuid.uuid4().hex[:8]}'
        self._born_ms = int(time.time() * 1000)
        self._work_s = work_s
        self._answer = answer
        self._slots = slots
        self._sequence = 0
        self._is_open = True
        self._is_leaving = False
        self.state = 'ready'
        self.runs: list[tuple[str, str, str]] = []
        # Monotonic time at which each run began, in seconds.
        self.run_times_s: list[float] = []
        self.connections = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(
            deployment.address(machine, 'app'), backlog=256
        )
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def heartbeat(self) -> int | None:
        """Sends one heartbeat to the node beside it; returns the status."""
        return self.send_heartbeat(self.next_heartbeat())

    def next_heartbeat(self) -> bytes:
        """Returns the next heartbeat."""
        ip, port = self._deployment.address(self._machine, 'app')
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        body = {
            'address': f'{ip}:{port}',
            'born': self._born_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self._deployment.machines[self._machine].zone,
                'slots': self._slots,
            },
            'status': {
                'state': self.state,
                'sequence': sequence,
                'warmupLeft': '0ms',
            },
        }
        return json.dumps(body).encode()

    def send_heartbeat(self, body: bytes) -> int | None:
        """Sends a heartbeat that was made before; returns the status."""
        return self._tell('heartbeat', body)

    def deregister(self) -> int | None:
        """Says that it leaves, after which it sends no more heartbeats."""
        self._is_leaving = True
        return self._tell(
            'deregister', json.dumps({'born': self._born_ms}).encode()
        )

    def _tell(self, what: str, body: bytes) -> int | None:
        reply = http(
            self._deployment.address(self._machine, 'control'),
            'POST',
            f'/v1/instances/{self.name}/{what}',
            body,
        )
        return reply and reply[0]

    def close(self) -> None:
        """Ends it without a word."""
        self._is_open = False
        self._listener.close()

    def _beat(self) -> None:
        while self._is_open and not self._is_leaving:
            status = self.heartbeat()
            time.sleep(_BEAT_S if status == 200 else 0.3)

    def _accept(self) -> None:
        while self._is_open:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile('rb')
        try:
            while self._is_open:
                request = read_request(stream)
                if request is None or not self._reply(connection, request):
                    return
        except (OSError, ValueError):
            return
        finally:
            stream.close()
            connection.close()

    def _reply(self, connection: socket.socket, request: dict) -> bool:
        fields = request['fields']
        request_id = fields.get('x-waxwingsaddle-request-id', '')
        if request['target'] == '/health':
            send_answer(
                connection, 200, b'', {'X-Waxwingsaddle-Instance-Id': self.name}
            )
            return True
        expected = fields.get('x-waxwingsaddle-expect-instance', self.name)
        if expected != self.name:
            self.record(f'421 {request_id}')
            send_answer(connection, 421, b'', id_field(request_id))
            return True
        self.record_run(request)
        if self._answer is not None:
            return self._answer(self, connection, request)
        time.sleep(self._work_s)
        send_answer(
            connection,
            200,
            self.body_of(request_id),
            {
                **id_field(request_id),
                'X-Waxwingsaddle-Response-Seal': f'seal-{request_id}',
            },
        )
        return True

    def body_of(self, request_id: str) -> bytes:
        """Returns the body of the answer to a request."""
        return f'{self.service} {request_id}\n'.encode()

    def record_run(self, request: dict) -> None:
        """Records that it has begun to work on a request."""
        request_id = request['fields'].get('x-waxwingsaddle-request-id', '')
        with self._lock:
            self.run_times_s.append(time.monotonic())
            self.runs.append((request_id, request['method'], request['target']))
        self.record(
            f'runs {request_id} {request["method"]} {request["target"]}'
        )

    def record(self, line: str) -> None:
        """Writes a line to the record."""
        self._deployment.record(f'{self.service}@{self._machine} {line}')


def id_field(request_id: str) -> dict[str, str]:
    """Returns the header field that repeats the id of a request."""
    return {'X-Waxwingsaddle-Request-Id': request_id}


def read_request(stream) -> dict | None:
    """Reads a request; None at the end of the connection."""
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    fields = {}
    while (line := stream.readline()) not in {b'\r\n', b''}:
        name, _, text = line.decode('latin-1').partition(':')
        fields[name.strip().lower()] = text.strip()
    length = int(fields.get('content-length', '0'))
    body = stream.read(length) if length else b''
    return {'method': method, 'target': target, 'fields': fields, 'body': body}


def send_answer(
    connection: socket.socket, status: int, body: bytes, fields: dict[str, str]
) -> None:
    """Sends a whole answer with a length."""
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    connection.sendall(head.encode('latin-1') + body)
