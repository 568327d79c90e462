"""Patches the standard library for eventlet."""

import os
import sys
import warnings

from waxwingsaddle.util import imports

# Modules that libraries import only if they exist. Without them a node takes
# 6 MB less: OpenSSL 5 MB, the others 0.7 MB. Links are encrypted by zmq.
OPTIONAL = ('ssl', '_hashlib', 'bz2', 'lzma', 'typing_extensions')
# eventlet imports it for a hub that is not used here; 4 MB.
UNUSED = ('asyncio',)
GREEN_TLS = 'eventlet.green.ssl'


def patch() -> None:
    """Makes blocking calls of the standard library yield to the event loop.

    Addresses are IP numbers, so the DNS resolver of eventlet, which costs
    about 6 MB, is switched off. Programs that need an optional module can
    still import it afterwards.
    """
    os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
    # eventlet imports its TLS module late, whenever it patches a module.
    sys.modules[GREEN_TLS] = None
    # eventlet prints a notice at its import, whatever the filters say.
    with (
        warnings.catch_warnings(record=True),
        imports.block_imports(*OPTIONAL),
        imports.stub_imports(*UNUSED),
    ):
        import hashlib  # noqa: F401

        import msgspec  # noqa: F401
        from eventlet import monkey_patch, wsgi  # noqa: F401

        monkey_patch()
