"""Experiment files of the load tool."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import Address
from waxwingsaddle.settings import SettingsError

NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate of a flow from a time on.

    Attributes:
        at_s: Time after the start of the run, in seconds.
        rate_per_s: Calls a second from then on.
    """

    at_s: NotNegative
    rate_per_s: NotNegative


class Flow(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One stream of like calls.

    Attributes:
        name: Name in the report.
        method: HTTP method.
        path: Path of the calls.
        stages: Rates over time.
        work_ms: Run time at an undisturbed upstream.
        size_bytes: Size of an answer.
        deadline_ms: Deadline a call carries; 0 for none.
        is_keyed: Whether a call carries an idempotency key.
        resends: Resends of a keyed call whose outcome is unknown.
        connects: Nodes tried in turn until one takes the connection; nothing
            was sent to the ones before.
        measure_from_s: Answers before this time stay out of the report.
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
    """An order to a stand-in upstream during a run.

    Attributes:
        at_s: Time after the start of the run, in seconds.
        upstream: HTTP address of the stand-in.
        action: `slow` or `drain`.
        factor: How many times slower.
        duration_s: For how long.
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
    """One experiment.

    Attributes:
        name: Name in the report.
        seed: Seed of the arrivals.
        duration_s: Length of a run, in seconds.
        nodes: HTTP addresses of the nodes that callers use.
        flows: Streams of calls.
        actions: Orders to stand-ins.
        answers_file: File with one JSON line an answer; empty for none.
        is_direct_measured: Whether the same load goes straight to the
            upstreams afterwards, as a baseline.
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
    """Reads an experiment file."""
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
        return msgspec.convert(document, Experiment)
    except OSError as error:
        return SettingsError(str(path), '', error.strerror or str(error))
    except (ValueError, msgspec.ValidationError) as error:
        return SettingsError(str(path), '', str(error))
