"""Limits on memory that follow from the memory of a host."""

_BYTES_PER_MB = 1_000_000
# The rest is for the program, the bodies that callers of this node send, and
# the buffers of its connections.
_GUARD_BODY_SHARE = 0.35


def node_memory(memory_mb: float) -> dict[str, int]:
    """Returns the settings of a node that follow from its memory.

    Args:
        memory_mb: Memory that the process may use; 0 if there is no limit.
    """
    if not memory_mb:
        return {}
    guard_bytes = round(memory_mb * _BYTES_PER_MB * _GUARD_BODY_SHARE)
    return {'guard_body_bytes': guard_bytes}
