"""HTTP endpoint for the state of the replicated log on one control host.

The administration API describes the fleet. This endpoint describes the replica
of one host, for operators who diagnose a failure of that host.
"""

from collections.abc import Iterable

from waxwingsaddle.replication import Replication
from waxwingsaddle.web import Application, Environ, StartResponse, reply_json

PATH = '/v1/replication'


class ReplicationPage:
    """WSGI middleware that serves `GET /v1/replication`.

    Args:
        replication: The replicated log.
        application: Serves all other requests.
    """

    def __init__(
        self,
        replication: Replication,
        application: Application,
    ) -> None:
        self._replication = replication
        self._application = application

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handles one request."""
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        if route != ('GET', PATH):
            return self._application(environ, start_response)
        page = {
            'replication': self._replication.status(),
            'members': self._replication.members(),
            'history': self._replication.state.history(),
        }
        return reply_json(start_response, '200 OK', page)
