"""Life cycle of a daemon: settings, logging, start, signals and stop."""

import signal
import socket
import sys
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Protocol, TypeVar

import msgspec

from waxwingsaddle import logs, settings
from waxwingsaddle.file_changes import WatchedFile
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.listen_errors import ListenError

EXIT_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The interpreter writes the number of each signal to the wake-up descriptor.
RELOAD_BYTE = bytes((signal.SIGHUP,))


class ProgramSettings(Protocol):
    """Settings that all programs have in common."""

    host: str
    log_level: str
    log_form: str


_Model = TypeVar('_Model', bound=msgspec.Struct)


def run(
    table: str,
    model: type[_Model],
    build: Callable[[_Model], Kernel | settings.SettingsError],
    arguments: Sequence[str] | None = None,
) -> int:
    """Runs a program until SIGTERM or SIGINT, then stops it gracefully.

    Args:
        table: Name of the program and of its settings table.
        model: Struct of its settings.
        build: Returns the kernel with all services, or the error of a setting
            that can't be used.
        arguments: Command line arguments; those of the process if absent.

    Returns:
        The exit status: 0 after a graceful stop, 2 for unusable settings, such
            as an address that is already in use.
    """
    # Imported here, because programs on a platform have no arguments.
    from argparse import ArgumentParser

    parser = ArgumentParser(prog=f'waxwing-{table}')
    parser.add_argument('--settings', type=Path, required=True)
    path = parser.parse_args(arguments).settings
    return serve(table, settings.load(path, table, model), build)


def serve(
    table: str,
    loaded: _Model | settings.SettingsError,
    build: Callable[[_Model], Kernel | settings.SettingsError],
    reload: Callable[[Kernel], None] | None = None,
    settings_file: str = '',
) -> int:
    """Runs a program with its settings until SIGTERM or SIGINT.

    Args:
        table: Name of the program and of its settings table.
        loaded: Its settings, or the error found in them.
        build: Returns the kernel with all services, or the error of a setting
            that can't be used.
        reload: Called with the kernel on SIGHUP and when the settings file
            changes. Without it SIGHUP has no effect.
        settings_file: Settings file to watch for changes; empty to watch
            none.

    Returns:
        The exit status, as for `run`.
    """
    if isinstance(loaded, settings.SettingsError):
        return _report_unusable(table, loaded)
    logs.configure(
        loaded.log_level,
        loaded.log_form,
        program=table,
        host=loaded.host,
    )
    kernel = build(loaded)
    if isinstance(kernel, settings.SettingsError):
        return _report_unusable(table, kernel)
    received_signals, wake_up = _open_signal_socket()
    if settings_file:
        watched = WatchedFile(settings_file, partial(wake_up.send, RELOAD_BYTE))
        kernel.provide('settings-file', watched)
    try:
        kernel.start()
    except ListenError as error:
        print(f'waxwing-{table}: {error}', file=sys.stderr)
        return EXIT_SETTINGS
    logs.logger().info('started')
    while received_signals.recv(1) == RELOAD_BYTE:
        logs.logger().info('reloading')
        if reload is not None:
            reload(kernel)
    logs.logger().info('stopping')
    kernel.stop()
    logs.logger().info('stopped')
    _ignore_signals()
    return 0


def _report_unusable(table: str, error: settings.SettingsError) -> int:
    print(f'waxwing-{table}: {error}', file=sys.stderr)
    return EXIT_SETTINGS


def _open_signal_socket() -> tuple[socket.socket, socket.socket]:
    """Returns a socket that receives the numbers of signals, and its peer.

    The signals are delivered through a wake-up descriptor, because a Python
    signal handler alone does not wake the event loop.
    """
    readable, writable = socket.socketpair()
    writable.setblocking(False)
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, _ignore)
    signal.set_wakeup_fd(writable.fileno(), warn_on_full_buffer=False)
    return readable, writable


def _ignore_signals() -> None:
    # The interpreter restores the default actions of other handlers before it
    # exits, and a signal would then end a program that has stopped in order.
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _ignore(_number: int, _frame: object) -> None:
    """Does nothing: the wake-up descriptor reports the signal."""
