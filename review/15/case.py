"""Case 15: fractions of a millisecond are lost from a configuration."""

import asyncio
import os
import re
import sys
from decimal import Decimal
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins3'))

from mesh3 import (
    Mesh,
    configuration,
    limits,
    route,
    service,
)

# Time of reading at the end, at least `contact`.
READ_S = 4
MS_PER_UNIT = {'ms': 1, 's': 1000}

IS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def changed_timeouts(version):
    """Returns a configuration with other timeouts; computed ones in TROUBLE."""
    times = (
        {'timeout': '1.2345s', 'targetLatency': '333.3ms'}
        if IS_TROUBLE
        else {'timeout': '1.234s', 'targetLatency': '333ms'}
    )
    return configuration(
        version,
        route('quotes', '/quotes/', 'safe', 'quotes', **times),
        service('quotes'),
        limits(),
    )


def times_ms(document):
    """Returns all times of a configuration in milliseconds."""
    found = {}
    for resource in document['resources']:
        name = resource['metadata'].get('name', '')
        for key, text in resource['spec'].items():
            match = re.fullmatch(r'([0-9.]+)(ms|s)', str(text))
            if match:
                number, unit = match.groups()
                place = (resource['resourceType'], name, key)
                found[place] = Decimal(number) * MS_PER_UNIT[unit]
    return found


async def play(mesh):
    """Plays the case; returns whether CONFIG was broken."""
    first = configuration(
        1, route('quotes', '/quotes/', 'safe', 'quotes'), service('quotes')
    )
    for control in mesh.controls:
        control.start()
    if await mesh.put(first, 0) != 200:
        raise RuntimeError('the first configuration was not accepted')
    sent = changed_timeouts(7)
    if await mesh.put(sent, 1) != 200:
        raise RuntimeError('the configuration was not accepted')
    is_broken = False
    end_s = mesh.now() + READ_S
    while mesh.now() < end_s:
        read = await mesh.get()
        if read is None or read['version'] != sent['version']:
            raise RuntimeError(f'read {read}')
        for place, sent_ms in times_ms(sent).items():
            read_ms = times_ms(read).get(place)
            if read_ms != sent_ms:
                is_broken = True
                mesh.note(f'{place}: sent {sent_ms} ms, read {read_ms} ms')
        await asyncio.sleep(1)
    return is_broken


async def main():
    """Runs the case and writes its record."""
    mesh = Mesh([], net='127.214')
    result = 2
    try:
        result = int(await play(mesh))
    except (OSError, RuntimeError) as error:
        mesh.note(f'the case could not run: {error!r}')
    finally:
        await mesh.stop()
        mesh.note(f'TROUBLE={int(IS_TROUBLE)}: exit {result}')
        record = Path(__file__).with_name('record.txt')
        record.write_text('\n'.join(mesh.lines) + '\n')
    return result


sys.exit(asyncio.run(main()))
