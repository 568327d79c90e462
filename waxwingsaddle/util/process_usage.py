"""CPU time and resident memory of a process."""

import os
from dataclasses import dataclass
from pathlib import Path

PROC_FOLDER = Path('/proc')
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Positions of user and system time in /proc/PID/stat, counted from the field
# after the name of the process.
_USER_FIELD = 11
_SYSTEM_FIELD = 12


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resources used by a process so far.

    Attributes:
        cpu_s: CPU time of the process without its children, in seconds.
        rss_bytes: Resident memory.
    """

    cpu_s: float
    rss_bytes: int


def read_usage(process: int | str = 'self') -> ProcessUsage:
    """Returns the resources used by a process so far.

    Args:
        process: Process id; the current process if absent.
    """
    folder = PROC_FOLDER / str(process)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    pages = int((folder / 'statm').read_text().split()[1])
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ProcessUsage(
        ticks / _TICKS_PER_S,
        pages * _PAGE_BYTES,
    )
