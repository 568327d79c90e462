"""Checks of an edit on the host that receives it, before the leader decides."""

from waxwingsaddle import config
from waxwingsaddle.outcomes import Edit, Refused


def check_edit(edit: Edit, limit_bytes: int) -> Refused | None:
    """Returns why an edit cannot be accepted, if that is so.

    Args:
        edit: The edit.
        limit_bytes: Largest size of its files together, in characters.
    """
    sources = edit.sources
    size = sum(map(len, (sources.base, *sources.overlays.values())))
    if size > limit_bytes:
        return Refused(
            problems=(f'edit of {size} bytes, at most {limit_bytes}',)
        )
    checked = config.check_sources(sources)
    if isinstance(checked, config.Refused):
        return Refused(problems=checked.problems)
    return None
