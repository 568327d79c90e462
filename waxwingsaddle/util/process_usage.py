"""What a process spent: processor time and resident memory."""

import os
from dataclasses import dataclass
from pathlib import Path

PROCESSES = Path('/proc')
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Places of user and system time after the name in /proc/PID/stat.
_USER_FIELD = 11
_SYSTEM_FIELD = 12


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process spent so far.

    Attributes:
        cpu_s: Processor time of its own.
        rss_bytes: Resident memory.
    """

    cpu_s: float
    rss_bytes: int


def read_usage(process: int | str = 'self') -> ProcessUsage:
    """Returns what a process spent so far.

    Args:
        process: Its id; this process when absent.
    """
    folder = PROCESSES / str(process)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    pages = int((folder / 'statm').read_text().split()[1])
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ProcessUsage(
        ticks / _TICKS_PER_S,
        pages * _PAGE_BYTES,
    )
