"""Reading and renumbering of the base file and the overlay files."""

import re
from pathlib import Path

from waxwingsaddle.config import (
    BASE_NAME,
    MAX_FILE_BYTES,
    CheckedSources,
    Refused,
    SourceSet,
    check_sources,
)

OVERLAY_SUFFIX = '.toml'
_VERSION_LINE = re.compile(
    r'^(?P<key>[ \t]*version[ \t]*=[ \t]*)[0-9_]+',
    re.MULTILINE,
)


def overlay_files(overlay_folder: Path) -> tuple[Path, ...]:
    """Returns the overlay files of a folder, sorted by name.

    Files whose name starts with a dot are temporary files of editors and are
    ignored.

    Raises:
        OSError: The folder can't be read.
    """
    return tuple(
        sorted(
            path
            for path in overlay_folder.iterdir()
            if path.suffix == OVERLAY_SUFFIX and not path.name.startswith('.')
        ),
    )


def read_sources(
    base_file: Path,
    overlay_folder: Path,
) -> SourceSet | Refused:
    """Reads all source files of an edit.

    Args:
        base_file: The base file.
        overlay_folder: Folder with one overlay per site.

    Returns:
        The files as text, or a problem for each file that can't be read.
    """
    problems: list[str] = []
    base = _read(base_file, problems)
    try:
        paths = overlay_files(overlay_folder)
    except OSError as error:
        return Refused((*problems, f'{overlay_folder}: {_reason(error)}'))
    overlays = {path.stem: _read(path, problems) for path in paths}
    if problems:
        return Refused(tuple(problems))
    return SourceSet(base=base, overlays=overlays)


def with_version(sources: SourceSet, version: int) -> SourceSet | Refused:
    """Returns the same content with another requested version.

    Args:
        sources: Source files that passed all checks.
        version: The version to request.
    """
    before = check_sources(sources)
    if isinstance(before, Refused):
        return before
    base = _VERSION_LINE.sub(rf'\g<key>{version}', sources.base, count=1)
    renumbered = SourceSet(base=base, overlays=sources.overlays)
    after = check_sources(renumbered)
    if _is_renumbered(before, after, version):
        return renumbered
    return Refused(
        (f'{BASE_NAME}: version: no line of the form "version = NUMBER"',),
    )


def _is_renumbered(
    before: CheckedSources,
    after: CheckedSources | Refused,
    version: int,
) -> bool:
    return (
        isinstance(after, CheckedSources)
        and after.version == version
        and after.digest == before.digest
    )


def _read(path: Path, problems: list[str]) -> str:
    try:
        with path.open('rb') as stream:
            raw = stream.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            problems.append(f'{path}: more than {MAX_FILE_BYTES} bytes')
        return raw.decode('utf-8')
    except OSError as error:
        problems.append(f'{path}: {_reason(error)}')
    except UnicodeDecodeError as error:
        problems.append(f'{path}: not valid UTF-8 at byte {error.start}')
    return ''


def _reason(error: OSError) -> str:
    return (error.strerror or str(error)).lower()
