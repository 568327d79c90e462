"""Measures calls through failures and at a crest, in real processes.

`python -m test.measure_failures garden` runs each case twice: through the
nodes, and straight to the upstreams with random choice while the upstreams of
the same hosts end and start at the same times.
"""

import argparse
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import replace

from test.meshes import Mesh, deployed
from test.processes import ROOT
from waxwingsaddle import deployment, deployment_plans, journal_checker
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.jsonlines import read_lines

RUN_LIMIT_S = 300
FAULT_AT_S = 5
RUN_S = 15
WORK_MS = 100
LOAD = 0.2
SEED = 1
SETTLE_S = 3
CREST_S = (8, 14)
CREST_RUN_S = 20
CREST_WORK_MS = 400
CREST_WRITES = 0.6
CREST_FACTOR = 3
NORMAL_AGAIN_S = 2
# Cheap reads at the service of the bookings, so that both want its slots.
LOOK = """[routes.glance]
path_prefix = "/{write}/look"
methods = ["GET"]
service = "{write}"
idempotent = true
work = "short"
priority = "low"
"""
FLOW = """[[flows]]
name = "{name}"
path = "{path}"
method = "{method}"
work_ms = {work_ms}
size_bytes = 1000
deadline_ms = 2000
connects = 5
is_keyed = {is_keyed}
resends = {resends}
stages = [{stages}]
"""
Fault = Callable[[Mesh, list[deployment.Member], str], None]


def lose_zone(
    running: Mesh, hosts: list[deployment.Member], program: str
) -> None:
    """Kills all processes of the second zone."""
    zone = deployment_plans.ZONES[1]
    ended = [one for one in hosts if one.availability_zone == zone]
    if program == 'node':
        ended = [
            one
            for one in running.deployment.members
            if one.availability_zone == zone and one.program != 'source'
        ]
    for one in ended:
        running.processes[one.host].kill()


def restart_herd(
    running: Mesh, hosts: list[deployment.Member], _program: str
) -> None:
    """Kills a third of the hosts at once and starts them again."""
    herd = random.Random(SEED).sample(hosts, len(hosts) // 3)
    for one in herd:
        running.processes[one.host].kill()
    for one in herd:
        running.processes[one.host].start()
    for one in herd:
        running.wait_ready(one)


def restart_all(
    running: Mesh, hosts: list[deployment.Member], _program: str
) -> None:
    """Stops each host gracefully and starts it again, one by one."""
    for one in hosts:
        status = running.processes[one.host].terminate()
        assert status == 0, (one.host, status)
        running.processes[one.host].start()
        running.wait_ready(one)


FAULTS = {
    'zone-loss': (lose_zone, RUN_S),
    'herd-restart': (restart_herd, RUN_S),
    'rolling-restart': (restart_all, 75),
}


def main() -> None:
    """Runs the cases and prints their figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('plan', choices=sorted(deployment_plans.SCENARIOS))
    parser.add_argument('--case', choices=(*FAULTS, 'crest'))
    given = parser.parse_args()
    scenario = deployment_plans.SCENARIOS[given.plan]
    for case, (fault, run_s) in FAULTS.items():
        if given.case in {None, case}:
            for program in ('node', 'load'):
                _measure_fault(scenario, case, program, fault, run_s)
    if given.case in {None, 'crest'}:
        for program in ('node', 'load'):
            _measure_crest(scenario, program)


@contextmanager
def _deployed(scenario: deployment_plans.Scenario):
    look = LOOK.format(write=scenario.write[0])
    plan = replace(scenario.plan, base=f'{scenario.plan.base}{look}')
    with deployed(plan) as running:
        time.sleep(SETTLE_S)
        yield running


def _measure_fault(scenario, case, program, fault: Fault, run_s) -> None:
    flows = (
        _flow(scenario, 'read', 'GET', WORK_MS, ((0, LOAD),)),
        _flow(scenario, 'write', 'POST', WORK_MS, ((0, LOAD),)),
    )
    with _deployed(scenario) as running:
        load = _start_load(running, program, flows, run_s)
        time.sleep(FAULT_AT_S)
        hosts = list(running.deployment.members_of(program))
        fault(running, hosts, program)
        took_s = time.monotonic()
        assert load.wait(RUN_LIMIT_S) == 0
        print(f'{case} {_label(program)}: load went on for', end=' ')
        print(f'{time.monotonic() - took_s:.1f} s after the last step')
        answers = _last_answers(running)
        _print_flows(('read', 'write'), answers)
        _print_violations(running)


def _measure_crest(scenario: deployment_plans.Scenario, program: str) -> None:
    begin_s, end_s = CREST_S
    reads = CREST_FACTOR - CREST_WRITES
    flows = (
        _flow(
            scenario,
            'look',
            'GET',
            CREST_WORK_MS,
            ((0, LOAD), (begin_s, reads), (end_s, LOAD)),
        ),
        _flow(
            scenario,
            'write',
            'POST',
            CREST_WORK_MS,
            ((0, LOAD), (begin_s, CREST_WRITES), (end_s, LOAD)),
        ),
    )
    service, upstreams = scenario.write
    capacity = scenario.rate_per_s(upstreams, 1, CREST_WORK_MS)
    print(f'crest {_label(program)}: capacity {capacity:.1f}/s')
    with _deployed(scenario) as running:
        load = _start_load(running, program, flows, CREST_RUN_S, service)
        assert load.wait(RUN_LIMIT_S) == 0
        answers = _last_answers(running)
        _print_violations(running)
    crest = [one for one in answers if begin_s <= one['at_s'] < end_s]
    _print_flows(('look', 'write'), crest)
    ends = [
        one['at_s'] + one['took_ms'] / MS_PER_S
        for one in answers
        if not _reason(one)
    ]
    # The first second of the crest fills the slots.
    full_s = begin_s + 1
    good = sum(full_s <= end < end_s for end in ends)
    share = good / (capacity * (end_s - full_s))
    print(f'  goodput of the crest: {share:.1%} of capacity')
    _print_latency('before the crest', answers, 2, begin_s)
    again_s = end_s + NORMAL_AGAIN_S
    _print_latency('from 2 s after it', answers, again_s, CREST_RUN_S)


def _print_flows(names, answers) -> None:
    for name in names:
        told = [one for one in answers if one['flow'] == name]
        failed = Counter(map(_reason, told))
        good = failed.pop('', 0)
        print(f'  {name}: {good} of {len(told)} succeeded', dict(failed))


def _print_latency(when, answers, from_s, until_s) -> None:
    took_ms = sorted(
        one['took_ms']
        for one in answers
        if from_s <= one['at_s'] < until_s and not _reason(one)
    )
    half_ms = took_ms[len(took_ms) // 2]
    high_ms = took_ms[len(took_ms) * 99 // 100]
    print(f'  latency {when}, ms: p50 {half_ms:.0f}, p99 {high_ms:.0f}')


def _flow(scenario, name, method, work_ms, shares) -> str:
    """Returns a flow whose rates are shares of the capacity it calls."""
    kind = 'read' if name == 'read' else 'write'
    service, upstreams = getattr(scenario, kind)
    rates = [
        (at_s, scenario.rate_per_s(upstreams, share, work_ms))
        for at_s, share in shares
    ]
    stages = ', '.join(
        f'{{ at_s = {at_s}, rate_per_s = {rate:.2f} }}' for at_s, rate in rates
    )
    is_keyed = name == 'write'
    return FLOW.format(
        name=name,
        path=f'/{service}/look' if name == 'look' else f'/{service}',
        method=method,
        work_ms=work_ms,
        is_keyed=str(is_keyed).lower(),
        resends=2 if is_keyed else 0,
        stages=stages,
    )


def _start_load(running, program, flows, run_s, service=''):
    """Starts the load tool.

    Without nodes, all upstreams take all calls.
    """
    service = '' if program == 'node' else service
    head = (
        f'name = "{program}"\nseed = {SEED}\nduration_s = {run_s}\n'
        f'nodes = {running.deployment.http_addresses(program, service)}\n'
        f'answers_file = "{running.folder}/answers.jsonl"\n'
    )
    file = running.folder / 'experiment.toml'
    file.write_text('\n'.join((head, *flows)), encoding='utf-8')
    return subprocess.Popen(
        [sys.executable, '-m', 'waxwingsaddle.ui.load', 'run', str(file)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )


def _last_answers(running: Mesh) -> list[dict]:
    """Returns the last answer of each call, with all its time."""
    last: dict[str, dict] = {}
    for line in read_lines(running.folder / 'answers.jsonl'):
        last[line['call_id']] = line
    return list(last.values())


def _reason(line: dict) -> str:
    """Returns why a call failed; empty when it succeeded."""
    if line['outcome'] == 'ran' and line['status'] < 300 and line['is_whole']:
        return ''
    if line['outcome'].startswith('no-'):
        return line['outcome']
    return f'{line["outcome"]} {line["reason"] or line["status"]}'


def _print_violations(running: Mesh) -> None:
    verdict = journal_checker.check_calls(
        sorted(running.folder.glob('upstream-*.jsonl')),
        [running.folder / 'answers.jsonl'],
    )
    print(f'  {len(verdict.violations)} violations', *verdict.violations[:3])


def _label(program: str) -> str:
    return 'through the nodes' if program == 'node' else 'baseline, direct'


if __name__ == '__main__':
    main()
