"""Short runs of the soak of planned stops."""

from nose2.tools import params

from test.soak_stops import ROUNDS
from test.stop_soak import HOSTS, run_soak

MIN_SERVED = 50


@params(1, 2)
def test_planned_stops_lose_no_request(seed):
    """Guards against requests that a planned stop loses, or refuses and runs.

    Callers of both servers use kept connections while four nodes stop and start
    again, in series that overlap.
    """
    result = run_soak(seed)
    assert not result.problems, '\n'.join((result.summary(), *result.problems))
    served = sum(request.status == 200 for request in result.requests)
    assert served > MIN_SERVED, result.summary()
    assert result.stops == ROUNDS * len(HOSTS), result.summary()
