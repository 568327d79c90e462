"""Outcomes of calls."""

from enum import Enum


class Outcome(Enum):
    """What is known about the execution of a call.

    Attributes:
        RAN: The upstream executed the call and answered.
        NOT_RUN: No upstream received any byte of the call.
        UNKNOWN: The call was sent to an upstream, which did not answer.
        CANCELLED: The caller cancelled after the call was sent.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    CANCELLED = 'cancelled'
