"""Patches the standard library for eventlet."""

import os
import warnings


def patch() -> None:
    """Makes blocking calls of the standard library yield to the event loop.

    Addresses are IP numbers, so the DNS resolver of eventlet, which costs
    about 6 MB, is switched off.
    """
    os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
    # eventlet prints a notice at its import, whatever the filters say.
    with warnings.catch_warnings(record=True):
        import eventlet
    eventlet.monkey_patch()
