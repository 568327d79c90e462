"""The date in the heads of HTTP messages."""

import time

from eventlet import wsgi

_dates: dict[int, str] = {}


def http_date() -> str:
    """Returns the current date, formatted once a second."""
    now_s = int(time.time())
    text = _dates.get(now_s)
    if text is None:
        _dates.clear()
        text = wsgi.format_date_time(now_s)
        _dates[now_s] = text
    return text
