"""Addresses in settings and announcements."""

import msgspec

from waxwingsaddle.addresses import Address, OptionalAddress


def test_addresses_are_checked_in_full():
    """Guards against an address that leads to another port, or to none.

    A port above 65,535 was taken modulo 65,536: calls reached the process that
    listens on that port.
    """
    for good in ('0.0.0.0:1', '255.255.255.255:65535', '10.9.99.199:9999'):
        assert msgspec.convert(good, Address) == good
        assert msgspec.convert(good, OptionalAddress) == good
    for octet in range(256):
        msgspec.convert(f'1.{octet}.1.1:80', Address)
    for port in (1, 9, 10, 9999, 10_000, 59_999, 64_999, 65_499, 65_529):
        msgspec.convert(f'1.1.1.1:{port}', Address)
    assert not msgspec.convert('', OptionalAddress)
    for odd in (
        '1.1.1.1:0',
        '1.1.1.1:65536',
        '1.1.1.1:99999',
        '1.1.1.1:080',
        '1.1.1.1:٨٠',
        '1.1.1.٣:80',
        '256.1.1.1:80',
        '999.1.1.1:80',
        '01.1.1.1:80',
        '1.1.1.1:80\n',
        '1.1.1:80',
        'host:80',
        '[::1]:80',
    ):
        for model in (Address, OptionalAddress):
            _assert_refused(odd, model)
    _assert_refused('', Address)


def _assert_refused(text, model):
    try:
        msgspec.convert(text, model)
    except msgspec.ValidationError:
        return
    raise AssertionError(repr(text))
