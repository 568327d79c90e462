"""Fake upstream whose journal lines end with their time, for soaks."""

from test import fake_upstream  # isort:skip

import time


class TimedUpstream(fake_upstream.Upstream):
    """WSGI application that journals `KIND ID TIME`, in epoch seconds."""

    def _write_journal(self, kind, identifier):
        super()._write_journal(kind, f'{identifier} {time.time():.4f}')


if __name__ == '__main__':
    fake_upstream.main(TimedUpstream)
