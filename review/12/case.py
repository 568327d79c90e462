"""Case 12: an order at a control host that has just restarted moves all calls.

One of three control processes is killed and started again. The operator sends
the order of a rollout to this host, which serves requests again.
"""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins3'))

from mesh3 import Mesh
from versions import (
    BOUNDS,
    CONTACT_S,
    DURATION_S,
    EXPOSE_SHARE,
    EXPOSE_SLACK,
    NEW,
    Service,
    order,
    quotes_configuration,
    send_requests,
)

# Time from the kill until the process is started again.
DOWN_S = 0.3
# The new version turns bad so long after the order.
BAD_AFTER_S = 5.0

IS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


async def restart(mesh, control):
    """Kills a control process and waits until it serves requests again."""
    control.signal(signal.SIGKILL)
    control.process.wait()
    await asyncio.sleep(DOWN_S)
    control.start()
    while True:
        await asyncio.sleep(0.02)
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(control.ip, 8306)
            writer.close()
            break
    mesh.note(f'{control.name} serves requests again')


async def play(mesh):
    """Plays the case; returns whether EXPOSURE was broken, None if unclear."""
    served = Service(mesh)
    await mesh.start(quotes_configuration())
    requests = asyncio.create_task(send_requests(mesh, served))
    await asyncio.sleep(3)
    await served.start_new()
    await asyncio.sleep(4)
    mesh.note(f'before the order: {dict(served.count(0, mesh.now()))}')
    if IS_TROUBLE:
        await restart(mesh, mesh.controls[0])
    disturbed_s = mesh.now()
    if not await order(mesh):
        return None
    ordered_s = mesh.now()
    served.bad_from_s = ordered_s + BAD_AFTER_S
    await served.note_counts(ordered_s, DURATION_S, 'the order')
    requests.cancel()
    mesh.note(f'answers to clients: {dict(served.answers)}')
    return judge(mesh, served, ordered_s, disturbed_s)


def judge(mesh, served, ordered_s, disturbed_s):
    """Returns whether EXPOSURE was broken.

    Only what was sent while the core was stable counts as exposure.
    """
    end_s = ordered_s + DURATION_S
    counts = served.count(ordered_s, end_s)
    total = counts.total()
    in_touch_s = max(ordered_s, disturbed_s + CONTACT_S)
    exposed = served.count(in_touch_s, end_s)[NEW]
    bound = EXPOSE_SHARE * total + EXPOSE_SLACK
    mesh.note(
        f'requests from the order to its deadline: {total}; of these'
        f' {counts[NEW]} at the new version, {exposed} of them sent with all'
        f' machines in touch; at most {bound:.0f} allowed'
    )
    return exposed > bound


async def main():
    """Runs the case and writes its record."""
    mesh = Mesh(['quotes'] * 8, net='127.212', bounds=BOUNDS)
    result = 2
    try:
        is_broken = await play(mesh)
        result = 2 if is_broken is None else int(is_broken)
    except (OSError, RuntimeError) as error:
        mesh.note(f'the case could not run: {error!r}')
    finally:
        await mesh.stop()
        mesh.note(f'TROUBLE={int(IS_TROUBLE)}: exit {result}')
        record = Path(__file__).with_name('record.txt')
        record.write_text('\n'.join(mesh.lines) + '\n')
    return result


sys.exit(asyncio.run(main()))
