"""Patches the standard library for eventlet."""

import os
import warnings


def patch() -> None:
    """Makes blocking calls of the standard library yield to the event loop.

    Addresses are IP numbers, so the DNS resolver of eventlet, which costs
    about 6 MB, is switched off.
    """
    os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
    import eventlet

    # The notice of eventlet would repeat at every start of every program. The
    # filter stands after the import, which sets one of its own.
    warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

    eventlet.monkey_patch()
