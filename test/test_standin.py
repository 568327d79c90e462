"""Tests of the stand-in upstream and the fault proxy as processes."""

import json
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from test.bench import fault_proxy, start_upstream
from test.processes import wait_until
from waxwingsaddle.standin import is_complete_answer
from waxwingsaddle.util.ports import free_address


def _call(address, call_id, work_ms=0, size_bytes=100):
    request = Request(
        f'http://{address}/x?work_ms={work_ms}&size_bytes={size_bytes}',
        headers={'X-Call-Id': call_id},
    )
    with urlopen(request, timeout=10) as answer:
        return answer.read()


def _upstream(folder, **settings):
    address = free_address()
    process = start_upstream(
        folder,
        'u1',
        service='s',
        http_address=address,
        node_http_address=free_address(),
        **settings,
    )
    return address, process


def test_sheds_beyond_slots_and_queue():
    """Guards against a stand-in that accepts more calls than it may.

    It runs `slots` calls, lets `queue` calls wait and sheds the others, which
    must not be executed. Otherwise tests would not see overload.
    """
    with TemporaryDirectory() as name:
        journal = Path(name, 'journal')
        address, process = _upstream(
            Path(name),
            slots=1,
            queue=1,
            journal_file=str(journal),
        )
        try:
            with ThreadPoolExecutor(4) as pool:
                calls = [
                    pool.submit(_call, address, str(index), 300)
                    for index in range(4)
                ]
                errors = [call.exception() for call in calls]
        finally:
            process.kill()
        shed = [error.code for error in errors if error]
        assert shed == [503, 503], errors
        events = map(json.loads, journal.read_text().splitlines())
        started = [event for event in events if event['event'] == 'start']
        assert len(started) == 2


def test_proxy_delays_cuts_and_refuses():
    """Guards against a fault proxy that injects no faults.

    Failure tests would then pass without testing anything.
    """
    with TemporaryDirectory() as name:
        folder = Path(name)
        target, process = _upstream(folder)
        try:
            with fault_proxy(folder, {'link': target}) as links:
                _check_conditions(links)
        finally:
            process.kill()


def _check_conditions(links):
    address = links.addresses['link']
    body = _call(address, 'a', size_bytes=200_000)
    assert is_complete_answer('a', 200_000, body)
    assert links.counters()['link']['backward_bytes'] > 200_000
    links.set_condition('link', delay_ms=100)
    started_s = time.monotonic()
    _call(address, 'b')
    assert int((time.monotonic() - started_s) * 1000) >= 200
    links.set_condition('link', is_backward_cut=True)
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(_call, address, 'c')
        time.sleep(0.5)
        assert not pending.done()
        links.set_condition('link')
        assert is_complete_answer('c', 100, pending.result())
    links.set_condition('link', is_refusing=True)
    wait_until(lambda: _is_refused(address), 'connections are refused')


def _is_refused(address):
    try:
        _call(address, 'd')
    except HTTPError:
        return False
    except OSError:
        return True
    return False
