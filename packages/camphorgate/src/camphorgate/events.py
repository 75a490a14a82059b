"""Named events that connect the extensions of one process."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from camphorgate.errors import ExtensionError


class EventManager:
    """Registry of declared events and their listeners."""

    __slots__ = ("_names", "_listeners_by_event")

    def __init__(self) -> None:
        """Create a manager without events."""
        self._names: set[str] = set()
        self._listeners_by_event: dict[str, list[Callable[..., Any]]] = defaultdict(
            list
        )

    def declare(self, name: str) -> None:
        """Declare an event.

        :raises ExtensionError: if it is already declared.
        """
        if name in self._names:
            raise ExtensionError(f"event {name!r} is already declared")
        self._names.add(name)

    def connect(self, name: str, listener: Callable[..., Any]) -> None:
        """Connect a listener, which is called whenever the event is emitted.

        The event may be declared later, so that extensions can load in any order.
        """
        self._listeners_by_event[name].append(listener)

    def emit(self, name: str, *args: Any) -> list[Any]:
        """Call the listeners in the order in which they were connected.

        :returns: the return values of the listeners.
        :raises ExtensionError: if the event is not declared.
        """
        if name not in self._names:
            raise ExtensionError(f"event {name!r} is not declared")
        return [listener(*args) for listener in self._listeners_by_event[name]]

    def undeclared_names(self) -> set[str]:
        """Return the events that have listeners but are not declared."""
        return set(self._listeners_by_event) - self._names
