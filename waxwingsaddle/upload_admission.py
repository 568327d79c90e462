"""Refuses calls with a large body before the body is sent.

Load pattern: more uploads than an upstream has slots. Without this check, each
refused one crosses the links of two hosts first.
"""

from random import Random

from waxwingsaddle.call_class import Call
from waxwingsaddle.guard_decisions import (
    BUSY,
    OVERLOAD,
    Load,
    Refused,
    refuse_with_hint,
)
from waxwingsaddle.util.clock import MS_PER_S

# A body is held while it arrives and its call runs.
_MEMORY_WAIT_S = 0.5


def refuse_before_body(
    call: Call, load: Load, now_s: float, rng: Random
) -> Refused | None:
    """Returns the refusal of a call that its guard would refuse now.

    Args:
        call: The call.
        load: Load of the upstream, as its guard reports it.
        now_s: Monotonic time, in seconds.
        rng: Spreads the retry hints.

    Returns:
        None if the body should be taken; the guard decides again after that.
    """
    if call.deadline_s <= now_s:
        return Refused(call, 'deadline', 0)
    if load.in_flight < load.limit and not load.queued:
        return None
    if call.may_spill:
        return Refused(call, BUSY, 0)
    wait_s = load.wait_ms / MS_PER_S
    if now_s + wait_s > call.deadline_s:
        return refuse_with_hint(call, OVERLOAD, wait_s, rng)
    return None


def refuse_without_memory(call: Call, rng: Random) -> Refused:
    """Returns the refusal of a call for whose body there is no memory.

    Args:
        call: The call.
        rng: Spreads the retry hints.
    """
    if call.may_spill:
        return Refused(call, BUSY, 0)
    return refuse_with_hint(call, OVERLOAD, _MEMORY_WAIT_S, rng)
