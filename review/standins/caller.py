"""Stand-in for a client of the pages."""

import uuid

from standins.deployment import Deployment, http


def call(
    deployment: Deployment,
    machine: str,
    method: str,
    host: str,
    path: str,
    body: bytes = b'',
    deadline_ms: int = 1000,
) -> tuple[str, int | None, dict, bytes]:
    """Sends one request with an id of its own on a new connection.

    Returns:
        The id, and status, header fields and body of the answer; None as the
        status without an answer.
    """
    request_id = uuid.uuid4().hex[:16]
    reply = http(
        deployment.address(machine, 'outbound'),
        method,
        path,
        body,
        {
            'Host': host,
            'X-Waxwingsaddle-Request-Id': request_id,
            'X-Waxwingsaddle-Deadline-Ms': str(deadline_ms),
        },
        timeout_s=deadline_ms / 1000 + 0.5,
    )
    status, fields, answer = reply or (None, {}, b'')
    deployment.record(
        f'client@{machine} {request_id} {method} {host}{path}: {status}'
    )
    return request_id, status, fields, answer
