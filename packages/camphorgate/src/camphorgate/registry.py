"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from camphorgate.errors import RegistryError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind."""

    __slots__ = ("kind", "_entries_by_name")

    def __init__(self, kind: str) -> None:
        """Create an empty registry.

        :param kind: kind of the entries, for error messages.
        """
        self.kind = kind
        self._entries_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers the decorated object.

        :param name: name that is unique within this registry.
        :raises RegistryError: if the name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self._entries_by_name:
                raise RegistryError(f"{self.kind} {name!r} is already registered")
            self._entries_by_name[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry of a name.

        :raises RegistryError: if there is none; the message lists the known names.
        """
        try:
            return self._entries_by_name[name]
        except KeyError:
            known = ", ".join(sorted(self._entries_by_name)) or "none"
            raise RegistryError(
                f"no {self.kind} is named {name!r}; known: {known}"
            ) from None

    def __contains__(self, name: str) -> bool:
        return name in self._entries_by_name

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries_by_name)
