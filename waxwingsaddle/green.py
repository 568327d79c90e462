"""Patches the standard library for green threads of eventlet."""

import os
import sys
import warnings

from waxwingsaddle.util import imports

# Modules that libraries import only if they exist. Without them a node needs
# 6 MB less memory: OpenSSL takes 5 MB, the others 0.7 MB. TLS is not needed,
# because zmq encrypts the links.
OPTIONAL = ('ssl', '_hashlib', 'bz2', 'lzma', 'typing_extensions')
# eventlet imports asyncio for a hub that is not used here; it takes 4 MB.
UNUSED = ('asyncio',)
# Modules that the WSGI server imports for requests that it parses itself and
# for its error pages; they take 2 MB.
RARELY_USED = ('email.utils', 'html', 'http.client', 'mimetypes', 'shutil')
GREEN_TLS = 'eventlet.green.ssl'


def patch() -> None:
    """Makes blocking calls of the standard library yield to the event loop.

    Settings hold IP addresses, not host names, so the DNS resolver of
    eventlet, which takes about 6 MB, is disabled. Programs that need one of
    the optional modules can still import it afterwards.
    """
    os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
    # eventlet imports its TLS module whenever it patches a module, also later.
    # None in `sys.modules` makes that import fail.
    sys.modules[GREEN_TLS] = None
    # eventlet prints a warning on import, regardless of the warning filters.
    with (
        warnings.catch_warnings(record=True),
        imports.block_imports(*OPTIONAL),
        imports.stub_imports(*UNUSED),
        # The server keeps the type of parsed headers in a class attribute; None
        # stands for the default of the parser.
        imports.defer_imports(*RARELY_USED, HTTPMessage=None),
    ):
        import hashlib  # noqa: F401

        import msgspec  # noqa: F401
        from eventlet import monkey_patch, wsgi  # noqa: F401

        monkey_patch(subprocess=False)


def patch_subprocess() -> None:
    """Makes waiting for child processes yield to the event loop.

    For programs that start others; the module takes 0.4 MB of memory.
    """
    patch()
    from eventlet import monkey_patch

    monkey_patch(subprocess=True)
