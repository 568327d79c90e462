"""Exact outcomes of calls."""

from enum import Enum


class Outcome(Enum):
    """What is known about the run of a call.

    Attributes:
        RAN: The upstream ran it and answered.
        NOT_RUN: No upstream got any byte of it.
        UNKNOWN: It was handed over and no answer came.
        CANCELLED: The caller gave up after it was handed over.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    CANCELLED = 'cancelled'
