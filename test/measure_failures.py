"""Measures calls during failures and a load peak, with real processes.

`python -m test.measure_failures garden` runs each case twice: through the
nodes, and as a baseline directly to randomly chosen upstreams. In the baseline
the upstreams of the same hosts stop and start at the same times.
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

RUN_TIMEOUT_S = 300
FAULT_AT_S = 5
RUN_S = 15
WORK_MS = 100
LOAD_SHARE = 0.2
SEED = 1
SETTLE_S = 3
CREST_SPAN_S = (8, 14)
CREST_RUN_S = 20
CREST_WORK_MS = 400
CREST_WRITES = 0.6
CREST_SHARE = 3
RECOVERY_S = 2
# Route of cheap reads at the service of the bookings, so that both compete for
# its slots.
CHEAP_READ_ROUTE = """[routes.glance]
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


def kill_zone(
    running: Mesh, members: list[deployment.Member], program: str
) -> None:
    """Kills the processes of the second zone; in the baseline its upstreams."""
    zone = deployment_plans.ZONES[1]
    killed = [member for member in members if member.availability_zone == zone]
    if program == 'node':
        killed = [
            member
            for member in running.deployment.members
            if member.availability_zone == zone and member.program != 'source'
        ]
    for member in killed:
        running.processes[member.host].kill()


def restart_third(
    running: Mesh, members: list[deployment.Member], _program: str
) -> None:
    """Kills a random third of the hosts at once and restarts them."""
    restarted = random.Random(SEED).sample(members, len(members) // 3)
    for member in restarted:
        running.processes[member.host].kill()
    for member in restarted:
        running.processes[member.host].start()
    for member in restarted:
        running.wait_ready(member)


def restart_one_by_one(
    running: Mesh, members: list[deployment.Member], _program: str
) -> None:
    """Stops each host gracefully and restarts it, one after another."""
    for member in members:
        status = running.processes[member.host].terminate()
        assert status == 0, (member.host, status)
        running.processes[member.host].start()
        running.wait_ready(member)


FAULTS = {
    'zone-loss': (kill_zone, RUN_S),
    'herd-restart': (restart_third, RUN_S),
    'rolling-restart': (restart_one_by_one, 75),
}


def main() -> None:
    """Runs the cases and prints their results."""
    parser = argparse.ArgumentParser()
    parser.add_argument('plan', choices=sorted(deployment_plans.SCENARIOS))
    parser.add_argument('--case', choices=(*FAULTS, 'crest'))
    options = parser.parse_args()
    scenario = deployment_plans.SCENARIOS[options.plan]
    for case, (fault, run_s) in FAULTS.items():
        if options.case in {None, case}:
            for program in ('node', 'load'):
                _measure_fault(scenario, case, program, fault, run_s)
    if options.case in {None, 'crest'}:
        for program in ('node', 'load'):
            _measure_crest(scenario, program)


@contextmanager
def _deployed(scenario: deployment_plans.Scenario):
    route = CHEAP_READ_ROUTE.format(write=scenario.write[0])
    plan = replace(scenario.plan, base=f'{scenario.plan.base}{route}')
    with deployed(plan) as running:
        time.sleep(SETTLE_S)
        yield running


def _measure_fault(scenario, case, program, fault: Fault, run_s) -> None:
    flows = (
        _flow(scenario, 'read', 'GET', WORK_MS, ((0, LOAD_SHARE),)),
        _flow(scenario, 'write', 'POST', WORK_MS, ((0, LOAD_SHARE),)),
    )
    with _deployed(scenario) as running:
        load = _start_load(running, program, flows, run_s)
        time.sleep(FAULT_AT_S)
        members = list(running.deployment.members_of(program))
        fault(running, members, program)
        last_step_s = time.monotonic()
        assert load.wait(RUN_TIMEOUT_S) == 0
        print(f'{case} {_label(program)}: load went on for', end=' ')
        print(f'{time.monotonic() - last_step_s:.1f} s after the last step')
        answers = _final_answers(running)
        _print_flows(('read', 'write'), answers)
        _print_violations(running)


def _measure_crest(scenario: deployment_plans.Scenario, program: str) -> None:
    start_s, end_s = CREST_SPAN_S
    read_share = CREST_SHARE - CREST_WRITES
    flows = (
        _flow(
            scenario,
            'look',
            'GET',
            CREST_WORK_MS,
            ((0, LOAD_SHARE), (start_s, read_share), (end_s, LOAD_SHARE)),
        ),
        _flow(
            scenario,
            'write',
            'POST',
            CREST_WORK_MS,
            ((0, LOAD_SHARE), (start_s, CREST_WRITES), (end_s, LOAD_SHARE)),
        ),
    )
    service, upstreams = scenario.write
    capacity = scenario.rate_per_s(upstreams, 1, CREST_WORK_MS)
    print(f'crest {_label(program)}: capacity {capacity:.1f}/s')
    with _deployed(scenario) as running:
        load = _start_load(running, program, flows, CREST_RUN_S, service)
        assert load.wait(RUN_TIMEOUT_S) == 0
        answers = _final_answers(running)
        _print_violations(running)
    crest = [answer for answer in answers if start_s <= answer['at_s'] < end_s]
    _print_flows(('look', 'write'), crest)
    end_times_s = [
        answer['at_s'] + answer['took_ms'] / MS_PER_S
        for answer in answers
        if not _failure_reason(answer)
    ]
    # In the first second of the peak the slots fill up.
    full_s = start_s + 1
    successes = sum(full_s <= end < end_s for end in end_times_s)
    share = successes / (capacity * (end_s - full_s))
    print(f'  goodput of the crest: {share:.1%} of capacity')
    _print_latency('before the crest', answers, 2, start_s)
    recovered_s = end_s + RECOVERY_S
    _print_latency('from 2 s after it', answers, recovered_s, CREST_RUN_S)


def _print_flows(names, answers) -> None:
    for name in names:
        flow_answers = [answer for answer in answers if answer['flow'] == name]
        failed = Counter(map(_failure_reason, flow_answers))
        successes = failed.pop('', 0)
        print(
            f'  {name}: {successes} of {len(flow_answers)} succeeded',
            dict(failed),
        )


def _print_latency(when, answers, start_s, end_s) -> None:
    latencies_ms = sorted(
        answer['took_ms']
        for answer in answers
        if start_s <= answer['at_s'] < end_s and not _failure_reason(answer)
    )
    median_ms = latencies_ms[len(latencies_ms) // 2]
    p99_ms = latencies_ms[len(latencies_ms) * 99 // 100]
    print(f'  latency {when}, ms: p50 {median_ms:.0f}, p99 {p99_ms:.0f}')


def _flow(scenario, name, method, work_ms, shares) -> str:
    """Returns the TOML of a flow; rates are shares of the service capacity."""
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

    Without nodes, calls go to the upstreams of all services unless one is
    given.
    """
    service = '' if program == 'node' else service
    preamble = (
        f'name = "{program}"\nseed = {SEED}\nduration_s = {run_s}\n'
        f'nodes = {running.deployment.http_addresses(program, service)}\n'
        f'answers_file = "{running.folder}/answers.jsonl"\n'
    )
    file = running.folder / 'experiment.toml'
    file.write_text('\n'.join((preamble, *flows)), encoding='utf-8')
    return subprocess.Popen(
        [sys.executable, '-m', 'waxwingsaddle.ui.load', 'run', str(file)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )


def _final_answers(running: Mesh) -> list[dict]:
    """Returns the last answer of each call, which has its total time."""
    answer_by_call: dict[str, dict] = {}
    for line in read_lines(running.folder / 'answers.jsonl'):
        answer_by_call[line['call_id']] = line
    return list(answer_by_call.values())


def _failure_reason(line: dict) -> str:
    """Returns why a call failed; empty when it succeeded."""
    if line['outcome'] == 'ran' and line['status'] < 300 and line['is_whole']:
        return ''
    if line['outcome'].startswith('no-'):
        return line['outcome']
    return f'{line["outcome"]} {line["reason"] or line["status"]}'


def _print_violations(running: Mesh) -> None:
    report = journal_checker.check_calls(
        sorted(running.folder.glob('upstream-*.jsonl')),
        [running.folder / 'answers.jsonl'],
    )
    print(
        f'  {len(report.violations)} violations',
        *report.violations[:3],
    )


def _label(program: str) -> str:
    return 'through the nodes' if program == 'node' else 'baseline, direct'


if __name__ == '__main__':
    main()
