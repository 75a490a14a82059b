"""Named events between the extensions of one process."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from camphorgate.errors import ExtensionError


class EventManager:
    """Keeps the declared events and their listeners."""

    __slots__ = ("_names", "_listeners_by_event")

    def __init__(self) -> None:
        """Start without events."""
        self._names: set[str] = set()
        self._listeners_by_event: dict[str, list[Callable[..., Any]]] = defaultdict(
            list
        )

    def add(self, name: str) -> None:
        """Declare an event.

        :raises ExtensionError: if it is declared already.
        """
        if name in self._names:
            raise ExtensionError(f"event {name!r} is declared twice")
        self._names.add(name)

    def connect(self, name: str, listener: Callable[..., Any]) -> None:
        """Call a listener whenever the event is emitted.

        The event may be declared later, so extensions load in any order.
        """
        self._listeners_by_event[name].append(listener)

    def emit(self, name: str, *args: Any) -> list[Any]:
        """Call every listener in the order of connection.

        :returns: what the listeners returned.
        :raises ExtensionError: if the event was never declared.
        """
        if name not in self._names:
            raise ExtensionError(f"event {name!r} is not declared")
        return [listener(*args) for listener in self._listeners_by_event[name]]

    def unknown_names(self) -> set[str]:
        """Return events that have listeners but were never declared."""
        return set(self._listeners_by_event) - self._names
