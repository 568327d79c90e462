"""Micro-kernel: registry of named services, and publication of events."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, Protocol, runtime_checkable

Handler = Callable[..., None]


class UnknownServiceError(LookupError):
    """No service is registered under the requested name."""


@runtime_checkable
class Startable(Protocol):
    """A service that is started with the program."""

    def start(self) -> None:
        """Starts the service."""


@runtime_checkable
class Stoppable(Protocol):
    """A service that is stopped with the program."""

    def stop(self) -> None:
        """Stops the service."""


class Kernel:
    """Registry of the services and event handlers of one program."""

    def __init__(self) -> None:
        self._services: dict[str, Any] = {}
        self._handlers: dict[str, list[Handler]] = defaultdict(list)

    def provide(self, name: str, service: Any) -> None:
        """Registers a service.

        Args:
            name: Name by which other services find it.
            service: The service. If it has a `start` or `stop` method, the
                kernel calls that when the program starts or stops.

        Raises:
            ValueError: The name is already registered.
        """
        if name in self._services:
            raise ValueError(f'service {name!r} is already registered')
        self._services[name] = service

    def find(self, name: str) -> Any:
        """Returns the service registered under a name.

        Raises:
            UnknownServiceError: No service has this name.
        """
        try:
            return self._services[name]
        except KeyError:
            raise UnknownServiceError(
                f'no service is registered as {name!r}'
            ) from None

    def subscribe(self, event: str, handler: Handler) -> None:
        """Registers a handler, called with the fields of each such event."""
        self._handlers[event].append(handler)

    def publish(self, event: str, **fields: Any) -> None:
        """Calls the handlers of an event in the order of their subscription."""
        for handler in self._handlers[event]:
            handler(**fields)

    def start(self) -> None:
        """Starts the services in the order of their registration."""
        for service in list(self._services.values()):
            if isinstance(service, Startable):
                service.start()

    def stop(self) -> None:
        """Stops the services in the reverse order of their registration."""
        for service in reversed(list(self._services.values())):
            if isinstance(service, Stoppable):
                service.stop()
