"""Watches the files of an edit until they are stable."""

from dataclasses import dataclass
from pathlib import Path

from waxwingsaddle.config import Refused, SourceSet
from waxwingsaddle.sources import overlay_files, read_sources


@dataclass(frozen=True, slots=True)
class Reading:
    """The files at one moment.

    Attributes:
        sources: Their text, or why they can't be read.
        times_ns: Time of the last change of each file. Writing a file again
            with the same text therefore counts as a new reading, which gives
            operators a way to try again.
    """

    sources: SourceSet | Refused
    times_ns: tuple[tuple[str, int], ...]


class FileWatch:
    """Reports each new state of the files once, when it is stable.

    The files are read at each look because a time stamp alone may stay equal
    over two quick writes; all files together take about 100 KB.

    Args:
        base_file: The base file.
        overlay_folder: Folder of the overlays.
        settle_s: How long the files must stay equal, in seconds.
    """

    def __init__(
        self,
        base_file: Path,
        overlay_folder: Path,
        settle_s: float,
    ) -> None:
        self._base_file = base_file
        self._overlay_folder = overlay_folder
        self._settle_s = settle_s
        self._last: Reading | None = None
        self._equal_since_s = 0.0
        self._is_reported = False

    def look(self, now_s: float) -> Reading | None:
        """Reads the files.

        Args:
            now_s: Monotonic seconds.

        Returns:
            The files when they have become stable in a new state.
        """
        reading = Reading(
            read_sources(self._base_file, self._overlay_folder),
            self._times_ns(),
        )
        if reading != self._last:
            self._last = reading
            self._equal_since_s = now_s
            self._is_reported = False
            return None
        is_stable = now_s - self._equal_since_s >= self._settle_s
        if self._is_reported or not is_stable:
            return None
        self._is_reported = True
        return reading

    def _times_ns(self) -> tuple[tuple[str, int], ...]:
        try:
            paths = (self._base_file, *overlay_files(self._overlay_folder))
            return tuple((str(path), path.stat().st_mtime_ns) for path in paths)
        except OSError:
            # A file that vanished meanwhile shows in the next look.
            return ()
