"""Named plans of deployments and their experiments.

The experiments measure the objectives in section 1.2 of the design: latency of
short calls behind long calls, tail latency while some upstreams are slowed,
and service at the peak of a load swing. Arrival rates follow from the slots:
`load` is a fraction of the capacity of a service.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

from waxwingsaddle.deployment import DEMO, Deployment, Plan
from waxwingsaddle.util.clock import MS_PER_S

ZONES = ('zone-a', 'zone-b', 'zone-c')
GARDEN_SLOTS = 6
PARKING_SLOTS = 13
WARM_UP_S = 5
CREST_S = (8, 14)
CREST_FACTOR = 3
RUN_S = 20
SLOW_S = (8, 14)
SLOW_FACTOR = 10
# These execution times keep the rates within the 500 calls per second that one
# load tool can send, also at the peak with three times the capacity.
SHORT_MS = 100
CREST_MS = 400
LONG_MS = 3000
SHORT_LOAD = 0.4
LONG_LOAD = 0.2
BASE = """version = 1
[services.{read}]
timeout_ms = 5000
[services.{write}]
timeout_ms = 5000
[services.{heavy}]
timeout_ms = 20000
[routes.read]
path_prefix = "/{read}"
methods = ["GET"]
service = "{read}"
idempotent = true
work = "short"
priority = "low"
[routes.write]
path_prefix = "/{write}"
methods = ["POST"]
service = "{write}"
work = "short"
priority = "high"
[routes.look]
path_prefix = "/{heavy}/look"
methods = ["GET"]
service = "{heavy}"
idempotent = true
work = "short"
[routes.fetch]
path_prefix = "/{heavy}/fetch"
methods = ["GET"]
service = "{heavy}"
idempotent = true
work = "long"
"""


@dataclass(frozen=True, slots=True)
class Scenario:
    """Services of one deployment and the slots of their upstreams.

    Attributes:
        read: Name of the idempotent service with short calls, and the number
            of its upstreams.
        write: Name of the service for bookings or orders, and the number of
            its upstreams.
        heavy: Name of the service with short and long calls, and the number
            of its upstreams.
        slots: Slots of each upstream.
    """

    read: tuple[str, int]
    write: tuple[str, int]
    heavy: tuple[str, int]
    slots: int

    @property
    def plan(self) -> Plan:
        """The plan of the deployment."""
        return Plan(
            zones=ZONES,
            services=dict((self.read, self.write, self.heavy)),
            slots=self.slots,
            base=BASE.format(
                read=self.read[0],
                write=self.write[0],
                heavy=self.heavy[0],
            ),
        )

    def rate_per_s(self, upstreams: int, load: float, work_ms: float) -> float:
        """Returns the arrival rate for a load of a service.

        Args:
            upstreams: Number of upstreams of the service.
            load: Load as a fraction of the capacity.
            work_ms: Execution time of a call.
        """
        return upstreams * self.slots * load * MS_PER_S / work_ms


SCENARIOS: Mapping[str, Scenario] = {
    'garden': Scenario(
        ('gallery', 6), ('orders', 5), ('plans', 3), GARDEN_SLOTS
    ),
    'parking': Scenario(
        ('bays', 5), ('booking', 4), ('reports', 3), PARKING_SLOTS
    ),
}
PLANS: Mapping[str, Plan] = {
    'demo': DEMO,
    **{name: scenario.plan for name, scenario in SCENARIOS.items()},
}


def write_experiments(name: str, deployment: Deployment) -> tuple[Path, ...]:
    """Writes the experiment files of a plan into the deployment folder.

    Args:
        name: Name of the plan.
        deployment: The deployment that the plan was written to.

    Returns:
        The files; none for a plan without experiments.
    """
    scenario = SCENARIOS.get(name)
    if scenario is None:
        return ()
    return tuple(
        _write_experiment(deployment, experiment, build(scenario, deployment))
        for experiment, build in _EXPERIMENTS.items()
    )


@dataclass(frozen=True, slots=True)
class _Flow:
    name: str
    service: str
    path: str
    method: str
    work_ms: float
    stages: tuple[tuple[float, float], ...]

    def to_toml(self, deployment: Deployment) -> str:
        """Returns the flow as a TOML table of an experiment file."""
        direct = deployment.http_addresses('load', self.service)
        stages = ', '.join(
            f'{{ at_s = {at_s}, rate_per_s = {rate:.1f} }}'
            for at_s, rate in self.stages
        )
        return (
            '[[flows]]\n'
            f'name = "{self.name}"\n'
            f'path = "{self.path}"\n'
            f'method = "{self.method}"\n'
            f'work_ms = {self.work_ms}\n'
            'size_bytes = 1000\n'
            f'measure_from_s = {WARM_UP_S}\n'
            f'stages = [{stages}]\n'
            f'direct = {direct}\n'
        )


def _write_experiment(
    deployment: Deployment, name: str, tables: list[str]
) -> Path:
    nodes = deployment.http_addresses('node')
    header = (
        f'name = "{name}"\n'
        f'duration_s = {RUN_S}\n'
        f'nodes = {nodes}\n'
        # The baseline chooses upstreams at random, without lanes, hedging or
        # limits.
        'is_direct_measured = true\n'
        f'answers_file = "{deployment.folder.resolve()}/{name}.jsonl"\n'
    )
    file = deployment.folder / f'experiment-{name}.toml'
    file.write_text('\n'.join((header, *tables)), encoding='utf-8')
    return file


def _short_flow(scenario: Scenario) -> _Flow:
    service, upstreams = scenario.heavy
    rate = scenario.rate_per_s(upstreams, SHORT_LOAD, SHORT_MS)
    path = f'/{service}/look'
    return _Flow('short', service, path, 'GET', SHORT_MS, ((0, rate),))


def _short_alone(scenario: Scenario, deployment: Deployment) -> list[str]:
    return [_short_flow(scenario).to_toml(deployment)]


def _short_behind_long(scenario: Scenario, deployment: Deployment) -> list[str]:
    service, upstreams = scenario.heavy
    rate = scenario.rate_per_s(upstreams, LONG_LOAD, LONG_MS)
    path = f'/{service}/fetch'
    fetch = _Flow('long', service, path, 'GET', LONG_MS, ((0, rate),))
    return [
        _short_flow(scenario).to_toml(deployment),
        fetch.to_toml(deployment),
    ]


def _read_flow(scenario: Scenario) -> _Flow:
    service, upstreams = scenario.read
    rate = scenario.rate_per_s(upstreams, SHORT_LOAD, SHORT_MS)
    return _Flow('read', service, f'/{service}', 'GET', SHORT_MS, ((0, rate),))


def _undisturbed(scenario: Scenario, deployment: Deployment) -> list[str]:
    return [_read_flow(scenario).to_toml(deployment)]


def _slowed(scenario: Scenario, deployment: Deployment) -> list[str]:
    addresses = deployment.http_addresses('load', scenario.read[0])
    slowed = addresses[: max(1, len(addresses) // 5)]
    start_s, end_s = SLOW_S
    actions = (
        '[[actions]]\n'
        f'at_s = {start_s}\n'
        f'upstream = "{address}"\n'
        f'factor = {SLOW_FACTOR}\n'
        f'duration_s = {end_s - start_s}\n'
        for address in slowed
    )
    return [_read_flow(scenario).to_toml(deployment), *actions]


def _crest(scenario: Scenario, deployment: Deployment) -> list[str]:
    service, upstreams = scenario.write
    start_s, end_s = CREST_S
    base_rate = scenario.rate_per_s(upstreams, SHORT_LOAD, CREST_MS)
    crest_rate = scenario.rate_per_s(upstreams, CREST_FACTOR, CREST_MS)
    stages = ((0, base_rate), (start_s, crest_rate), (end_s, base_rate))
    write = _Flow('write', service, f'/{service}', 'POST', CREST_MS, stages)
    return [write.to_toml(deployment)]


_EXPERIMENTS: Mapping[str, Callable[[Scenario, Deployment], list[str]]] = {
    'short-alone': _short_alone,
    'short-behind-long': _short_behind_long,
    'undisturbed': _undisturbed,
    'slowed': _slowed,
    'crest': _crest,
}
