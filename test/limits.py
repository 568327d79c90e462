"""Temporary limits of the operating system."""

import os
import resource
import sys
from contextlib import contextmanager

OUTPUT_DESCRIPTORS = (1, 2)


@contextmanager
def file_size_limit(limit_bytes):
    """Makes writes beyond a file size fail, as on a full disk.

    The limit applies to the whole process. Its output is discarded meanwhile,
    because it may be redirected to a file that is already larger.

    Args:
        limit_bytes: Largest file size that can be written.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    with _discarded_output():
        resource.setrlimit(resource.RLIMIT_FSIZE, (limit_bytes, hard))
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))


@contextmanager
def _discarded_output():
    _flush()
    saved = [os.dup(descriptor) for descriptor in OUTPUT_DESCRIPTORS]
    null_device = os.open(os.devnull, os.O_WRONLY)
    for descriptor in OUTPUT_DESCRIPTORS:
        os.dup2(null_device, descriptor)
    os.close(null_device)
    try:
        yield
    finally:
        _flush()
        for saved_descriptor, descriptor in zip(
            saved, OUTPUT_DESCRIPTORS, strict=True
        ):
            os.dup2(saved_descriptor, descriptor)
            os.close(saved_descriptor)


def _flush():
    sys.stdout.flush()
    sys.stderr.flush()
