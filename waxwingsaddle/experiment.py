"""Experiment files of the load tool."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import Address
from waxwingsaddle.settings import SettingsError
from waxwingsaddle.util.codec import unpack_toml

NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arrival rate of a flow from a point in time onwards.

    Attributes:
        at_s: Time after the start of the run, in seconds.
        rate_per_s: Calls per second, until the next stage.
    """

    at_s: NotNegative
    rate_per_s: NotNegative


class Flow(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A stream of calls of the same kind.

    Attributes:
        name: Name in the report.
        method: HTTP method.
        path: Path of the calls.
        stages: Arrival rates over time.
        work_ms: Execution time at an upstream that is not slowed.
        size_bytes: Size of an answer.
        deadline_ms: Deadline that a call carries; 0 for none.
        is_keyed: Whether a call carries an idempotency key.
        resends: Maximum number of resends while the outcome is neither `ran`
            nor `not-run`; meant for keyed calls.
        connects: How many nodes are tried at most until one accepts the
            connection. Nothing is sent to the nodes before it.
        measure_from_s: Calls that start earlier, in seconds after the start
            of the run, are left out of the report.
        direct: Addresses of the upstreams for the direct baseline.
    """

    name: str
    path: str
    stages: Annotated[tuple[Stage, ...], msgspec.Meta(min_length=1)]
    method: Literal['GET', 'POST', 'PUT', 'DELETE'] = 'GET'
    work_ms: NotNegative = 0
    size_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    deadline_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    is_keyed: bool = False
    resends: Annotated[int, msgspec.Meta(ge=0)] = 0
    connects: Annotated[int, msgspec.Meta(ge=1)] = 1
    measure_from_s: NotNegative = 0
    direct: tuple[Address, ...] = ()


class Action(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change to a stand-in upstream during a run.

    Attributes:
        at_s: Time after the start of the run, in seconds.
        upstream: HTTP address of the stand-in.
        action: `slow` or `drain`.
        factor: Factor by which `slow` multiplies the execution times.
        duration_s: Duration of the slowdown, in seconds.
    """

    at_s: NotNegative
    upstream: Address
    action: Literal['slow', 'drain'] = 'slow'
    factor: Annotated[float, msgspec.Meta(ge=1)] = 10
    duration_s: NotNegative = 1


class Experiment(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """An experiment: the load of one or two runs.

    Attributes:
        name: Name in the report.
        seed: Seed of the arrivals.
        duration_s: Duration of a run, in seconds.
        nodes: HTTP addresses of the nodes that callers use.
        flows: Streams of calls.
        actions: Changes to stand-in upstreams during a run.
        answers_file: File that gets a JSON line for each answer; empty for
            none.
        is_direct_measured: Whether a second run sends the same load directly
            to the upstreams, as a baseline.
    """

    name: str
    duration_s: Positive
    nodes: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    flows: Annotated[tuple[Flow, ...], msgspec.Meta(min_length=1)]
    seed: int = 1
    actions: tuple[Action, ...] = ()
    answers_file: str = ''
    is_direct_measured: bool = False


def load(path: Path) -> Experiment | SettingsError:
    """Reads an experiment file.

    Returns:
        The experiment, or the error where the file is missing or invalid.
    """
    try:
        document = unpack_toml(path.read_text(encoding='utf-8'))
        return msgspec.convert(document, Experiment)
    except OSError as error:
        return SettingsError(str(path), '', error.strerror or str(error))
    except (ValueError, msgspec.ValidationError) as error:
        return SettingsError(str(path), '', str(error))
