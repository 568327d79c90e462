"""HTTP client of the programs that refuses answers with a malformed head.

`http.client` takes a line that is no field for the end of a head and drops the
fields behind it, and `urllib3` writes that to its log and goes on.
"""

import re
from http.client import HTTPException, HTTPResponse
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HeaderParsingError
from urllib3.util.response import assert_header_parsing

# A token of RFC 9110, 5.6.2.
_FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


class MalformedHeadError(HTTPException):
    """The head of an answer has a line that is no field."""


class _StrictResponse(HTTPResponse):
    def begin(self) -> None:
        """Reads the head.

        Raises:
            MalformedHeadError: A line of it is no field.
        """
        super().begin()
        try:
            assert_header_parsing(self.msg)
        except HeaderParsingError:
            raise MalformedHeadError('malformed answer head') from None
        if not all(map(_FIELD_NAME.fullmatch, self.msg.keys())):
            raise MalformedHeadError('malformed field name in an answer')


class _StrictConnection(HTTPConnection):
    response_class = _StrictResponse


_StrictPool = type(
    '_StrictPool',
    (urllib3.HTTPConnectionPool,),
    {'ConnectionCls': _StrictConnection},
)


def pool_manager(**options: Any) -> urllib3.PoolManager:
    """Returns a pool manager for HTTP without TLS.

    Args:
        options: Arguments of `urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {'http': _StrictPool}
    return manager
