"""Watches the configuration files for edits that have settled."""

from dataclasses import dataclass
from pathlib import Path

from waxwingsaddle.config import Refused, SourceSet
from waxwingsaddle.sources import overlay_files, read_sources


@dataclass(frozen=True, slots=True)
class FileState:
    """The configuration files as read by one poll.

    Attributes:
        sources: Their text, or why they can't be read.
        times_ns: Modification time of each file. Rewriting a file with the
            same text therefore counts as a new state, which lets operators
            submit an edit again.
    """

    sources: SourceSet | Refused
    times_ns: tuple[tuple[str, int], ...]


class EditWatcher:
    """Reports each new state of the files once, after it has settled.

    Each poll reads the files because two quick writes may leave the same
    modification time; all files together take about 100 KB.

    Args:
        base_file: The base file.
        overlay_folder: Folder of the overlays.
        settle_s: How long the files must stay unchanged, in seconds.
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
        self._last_state: FileState | None = None
        self._unchanged_since_s = 0.0
        self._is_reported = False

    def poll(self, now_s: float) -> FileState | None:
        """Polls the files once.

        Args:
            now_s: Current monotonic time, in seconds.

        Returns:
            The files if a new state has just settled, otherwise None.
        """
        state = FileState(
            read_sources(self._base_file, self._overlay_folder),
            self._times_ns(),
        )
        if state != self._last_state:
            self._last_state = state
            self._unchanged_since_s = now_s
            self._is_reported = False
            return None
        is_stable = now_s - self._unchanged_since_s >= self._settle_s
        if self._is_reported or not is_stable:
            return None
        self._is_reported = True
        return state

    def _times_ns(self) -> tuple[tuple[str, int], ...]:
        try:
            paths = (self._base_file, *overlay_files(self._overlay_folder))
            return tuple((str(path), path.stat().st_mtime_ns) for path in paths)
        except OSError:
            # A file was deleted meanwhile; the next poll sees the change.
            return ()
