"""Reading of HTTP answers of bounded size and duration."""

import time

import urllib3

# A larger backup could not be restored.
MAX_ANSWER_BYTES = 134_217_728
_BLOCK_BYTES = 65_536
# Slowest answer that is read on after the timeout.
_MIN_BYTES_PER_S = 65_536


class AnswerTooLongError(Exception):
    """An answer is too large, or too slow for its size."""


def read_body(
    response: urllib3.BaseHTTPResponse,
    timeout_s: float,
    max_bytes: int,
) -> bytes:
    """Reads the body of an answer that was requested without its content.

    Args:
        response: The answer.
        timeout_s: Time for the first bytes, in seconds; each further 64 KB
            may take a second more.
        max_bytes: Largest body.

    Raises:
        AnswerTooLongError: The body is too large or too slow.
        urllib3.exceptions.HTTPError: The connection broke, or the body is
            shorter than its length.
    """
    started_s = time.monotonic()
    body = bytearray()
    while block := response.read1(_BLOCK_BYTES):
        body += block
        if len(body) > max_bytes:
            raise AnswerTooLongError(f'answer of more than {max_bytes} bytes')
        elapsed_s = time.monotonic() - started_s
        if elapsed_s > timeout_s + len(body) / _MIN_BYTES_PER_S:
            raise AnswerTooLongError(
                f'only {len(body)} bytes of the answer within {elapsed_s:.1f} s'
            )
    return bytes(body)
