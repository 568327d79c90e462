"""Micro-kernel: services that find each other by name, and named events."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, Protocol, runtime_checkable

Handler = Callable[..., None]


class UnknownServiceError(LookupError):
    """A service was asked for under a name that nobody provided."""


@runtime_checkable
class Startable(Protocol):
    """A service with work to begin when the program starts."""

    def start(self) -> None:
        """Begins the work of the service."""


@runtime_checkable
class Stoppable(Protocol):
    """A service with work to end when the program stops."""

    def stop(self) -> None:
        """Ends the work of the service."""


class Kernel:
    """Registry of services and events of one program."""

    def __init__(self) -> None:
        self._services: dict[str, Any] = {}
        self._handlers: dict[str, list[Handler]] = defaultdict(list)

    def provide(self, name: str, service: Any) -> None:
        """Registers a service under a name.

        Args:
            name: The name other services ask for.
            service: The service; started and stopped in order of registration
                when it has `start` or `stop` methods.

        Raises:
            ValueError: The name is taken.
        """
        if name in self._services:
            raise ValueError(f'service {name!r} is provided twice')
        self._services[name] = service

    def find(self, name: str) -> Any:
        """Returns the service with this name.

        Raises:
            UnknownServiceError: Nobody provided it.
        """
        try:
            return self._services[name]
        except KeyError:
            raise UnknownServiceError(f'no service {name!r}') from None

    def subscribe(self, event: str, handler: Handler) -> None:
        """Calls the handler with the fields of each event of this name."""
        self._handlers[event].append(handler)

    def publish(self, event: str, **fields: Any) -> None:
        """Calls the handlers of an event in order of subscription."""
        for handler in self._handlers[event]:
            handler(**fields)

    def start(self) -> None:
        """Starts the services in order of registration."""
        for service in list(self._services.values()):
            if isinstance(service, Startable):
                service.start()

    def stop(self) -> None:
        """Stops the services in reverse order of registration."""
        for service in reversed(list(self._services.values())):
            if isinstance(service, Stoppable):
                service.stop()
