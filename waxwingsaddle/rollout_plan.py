"""Plan of a rollout: which share of the calls the new version gets, and when.

Answers a load pattern of rollouts: a version that turns out to be faulty may
get a tenth of the calls of its service in total, also if it becomes faulty
late. The plan therefore tests the new version with a small share for most of
the duration, moves all calls at once near its end, and ends as soon as no call
is left at the old version. A gradual rise would expose more calls with less
knowledge.
"""

from dataclasses import dataclass
from enum import Enum

from waxwingsaddle.rollout_models import PERMILLE, Rollout, RolloutStep

# Share of the permitted exposure that the test uses. The rest is for the calls
# between a fault after the move of all calls and their way back.
_TEST_SHARE = 0.5
# Time for the move of all calls: the next configuration reaches the nodes, the
# new version shows itself under all calls, and calls in flight at the old one
# end. In 12 s, a move at 7 s completed versions that fail from then on; run
# times at slow upstreams are up to 3 s.
_MOVE_S = 3.5
_MIN_MOVE_SHARE = 0.15
_MAX_MOVE_SHARE = 0.6
# Longest wait for the rate of calls, by which the share of the test is chosen.
_RATE_WAIT_S = 1.5
# Share of the time for the move that a test without enough samples may use.
_MOVE_SLACK_SHARE = 0.2
# All calls have moved for about half of this time when it ends; the rest is the
# way of the step to the nodes and of the reports to the leader.
_SETTLE_S = 1.5
# Time for which a turn of upstreams under suspicion is tested before the next.
_TURN_S = 1.0
# With fewer upstreams, each of them is tested once more and then taken for the
# whole version.
_FEW_TARGETS = 3


class Verdict(Enum):
    """What the runs of the new version show, compared with the old one.

    Attributes:
        UNSURE: There are too few runs.
        GOOD: There are enough runs, and no sign of a fault.
        SUSPECT: One of its upstreams looks faulty, which may be the host.
        BAD: It fails more often or is several times slower.
    """

    UNSURE = 'unsure'
    GOOD = 'good'
    SUSPECT = 'suspect'
    BAD = 'bad'


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Calls that a faulty version may get between its order and its end.

    Attributes:
        percent: Share of the calls of the service, in percent.
        calls: Calls in addition.
    """

    percent: float
    calls: int


@dataclass(frozen=True, slots=True)
class Situation:
    """What the leader knows of a rollout.

    Attributes:
        elapsed_s: Time since the order, in seconds.
        step_age_s: Time since this leader knows the current step, in seconds.
        verdict: What the runs show.
        reason: Why, in one line.
        ready_targets: Number of upstreams of the target version that are
            ready.
        is_acknowledged: Whether all connected nodes have recently reported
            that the current step is in force.
        old_in_flight: Calls at upstreams of other versions.
        runs_per_s: Runs of the service per second, as far as reported.
    """

    elapsed_s: float
    step_age_s: float
    verdict: Verdict
    reason: str = ''
    ready_targets: int = 0
    is_acknowledged: bool = False
    old_in_flight: int = 0
    runs_per_s: float = 0


def next_step(
    rollout: Rollout, situation: Situation, limit: ExposureLimit
) -> RolloutStep | None:
    """Returns the next step of a running rollout; None to wait.

    Args:
        rollout: The rollout.
        situation: What is known of it.
        limit: Calls that a faulty version may get.
    """
    if situation.verdict is Verdict.BAD:
        return _end(rollout, 'rolled_back', situation.reason)
    duration_s = rollout.order.duration_ms / 1000
    if not situation.is_acknowledged:
        return None
    if not situation.ready_targets:
        has_moved = rollout.share_permille == PERMILLE
        if not has_moved and situation.elapsed_s < duration_s:
            return None
        return _end(rollout, 'rolled_back', 'no upstream of it is ready')
    if rollout.share_permille == 0:
        if not situation.runs_per_s and situation.elapsed_s < _RATE_WAIT_S:
            return None
        share = _test_share_permille(rollout, situation, limit)
        return _step(rollout, share, 'test begins')
    if rollout.share_permille == PERMILLE:
        return _after_move(rollout, situation)
    return _in_test(rollout, situation)


def move_at_s(duration_s: float) -> float:
    """Returns when all calls move, in seconds after the order."""
    move_s = min(
        max(_MOVE_S, duration_s * _MIN_MOVE_SHARE),
        duration_s * _MAX_MOVE_SHARE,
    )
    return duration_s - move_s


def _in_test(rollout: Rollout, situation: Situation) -> RolloutStep | None:
    if situation.verdict is Verdict.SUSPECT:
        return _in_suspicion(rollout, situation)
    duration_s = rollout.order.duration_ms / 1000
    due_s = move_at_s(duration_s)
    if situation.verdict is Verdict.UNSURE:
        due_s += (duration_s - due_s) * _MOVE_SLACK_SHARE
    if situation.elapsed_s < due_s:
        return None
    return _step(rollout, PERMILLE, f'{situation.verdict.value}, all calls')


def _in_suspicion(rollout: Rollout, situation: Situation) -> RolloutStep | None:
    """Tests other upstreams, to tell a faulty version from a faulty host."""
    if situation.step_age_s < _TURN_S:
        return None
    targets = situation.ready_targets
    if targets < _FEW_TARGETS and rollout.turn >= targets:
        return _end(rollout, 'rolled_back', situation.reason)
    share_permille, turn = rollout.share_permille, rollout.turn + 1
    return _step(rollout, share_permille, situation.reason, turn)


def _after_move(rollout: Rollout, situation: Situation) -> RolloutStep | None:
    if situation.verdict is Verdict.SUSPECT:
        if situation.step_age_s < _TURN_S:
            return None
        return _end(rollout, 'rolled_back', situation.reason)
    if situation.old_in_flight or situation.step_age_s < _SETTLE_S:
        return None
    return _end(rollout, 'completed', 'no call is left at other versions')


def _test_share_permille(
    rollout: Rollout, situation: Situation, limit: ExposureLimit
) -> int:
    """Returns the share of the test; larger for services with few calls."""
    share = limit.percent / 100
    test_s = max(0.1, move_at_s(rollout.order.duration_ms / 1000))
    if situation.runs_per_s:
        share += limit.calls / (situation.runs_per_s * test_s)
    return min(PERMILLE // 2, max(1, int(share * _TEST_SHARE * PERMILLE)))


def _step(
    rollout: Rollout, share_permille: int, reason: str, turn: int = 0
) -> RolloutStep:
    return RolloutStep(
        service=rollout.order.service,
        number=rollout.number,
        state='running',
        share_permille=share_permille,
        turn=turn,
        reason=reason,
    )


def _end(rollout: Rollout, state, reason: str) -> RolloutStep:
    return RolloutStep(
        service=rollout.order.service,
        number=rollout.number,
        state=state,
        share_permille=PERMILLE if state == 'completed' else 0,
        reason=reason,
    )
