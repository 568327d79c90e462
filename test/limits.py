"""Limits of the operating system, set for a while."""

import resource
from contextlib import contextmanager


@contextmanager
def file_size_limit(limit_bytes):
    """Makes writes beyond a file size fail, as on a full disk."""
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (limit_bytes, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
