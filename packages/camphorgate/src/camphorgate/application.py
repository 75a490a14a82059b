"""The application object: loads extensions, emits events, starts and stops."""

import asyncio
import importlib
from collections.abc import Awaitable, Callable
from typing import Any

from camphorgate.clock import Clock, SystemClock
from camphorgate.errors import ExtensionError
from camphorgate.events import EventManager
from camphorgate.log import log_event

# How long a task may take to end after it was cancelled before it is cancelled again.
CANCEL_AGAIN_SECONDS = 0.5


class Application:
    """One process: its settings, clock, events, services, tasks and state dump.

    An extension is a module with ``setup(app)``. There it declares events, connects
    listeners, provides services by name and adds start and stop hooks.
    """

    __slots__ = (
        "settings",
        "clock",
        "events",
        "_services_by_name",
        "_dumpers_by_section",
        "_start_hooks",
        "_stop_hooks",
        "_extensions",
        "_tasks",
    )

    def __init__(self, settings: Any, clock: Clock | None = None) -> None:
        """Create an application without extensions.

        :param settings: the checked settings of the process.
        :param clock: the machine's clock by default.
        """
        self.settings = settings
        self.clock = clock or SystemClock()
        self.events = EventManager()
        self._services_by_name: dict[str, Any] = {}
        self._dumpers_by_section: dict[str, Callable[[], Any]] = {}
        self._start_hooks: list[Callable[[], Awaitable[None]]] = []
        self._stop_hooks: list[Callable[[], Awaitable[None]]] = []
        self._extensions: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    def setup_extension(self, module_name: str) -> None:
        """Import a module and call its ``setup(app)`` once.

        :raises ExtensionError: if the module has no ``setup`` function.
        """
        if module_name in self._extensions:
            return
        module = importlib.import_module(module_name)
        setup = getattr(module, "setup", None)
        if setup is None:
            raise ExtensionError(f"extension {module_name} has no setup() function")
        self._extensions.append(module_name)
        setup(self)

    async def load_late(self, module_name: str) -> None:
        """Set up and start an extension of an application that runs.

        The module is imported beside the event loop, which goes on meanwhile.

        :raises ExtensionError: if the module has no ``setup`` function.
        """
        await asyncio.to_thread(importlib.import_module, module_name)
        known = len(self._start_hooks)
        self.setup_extension(module_name)
        for hook in self._start_hooks[known:]:
            await hook()

    def provide(self, name: str, service: Any) -> None:
        """Offer an object to the other extensions.

        :raises ExtensionError: if the name is taken.
        """
        if name in self._services_by_name:
            raise ExtensionError(f"service {name!r} is provided twice")
        self._services_by_name[name] = service

    def service(self, name: str) -> Any:
        """Return what an extension provided.

        :raises ExtensionError: if no loaded extension provides it.
        """
        try:
            return self._services_by_name[name]
        except KeyError:
            raise ExtensionError(f"no extension provides {name!r}") from None

    def has_service(self, name: str) -> bool:
        """Tell whether an extension provides the name."""
        return name in self._services_by_name

    def add_event(self, name: str) -> None:
        """Declare an event."""
        self.events.add(name)

    def connect(self, name: str, listener: Callable[..., Any]) -> None:
        """Connect a listener to an event."""
        self.events.connect(name, listener)

    def emit(self, name: str, *args: Any) -> list[Any]:
        """Emit an event and return the listeners' results."""
        return self.events.emit(name, *args)

    def add_dump_section(self, name: str, dumper: Callable[[], Any]) -> None:
        """Add a section to the state dump.

        :param dumper: returns data that JSON can hold, without any key.
        """
        self._dumpers_by_section[name] = dumper

    def on_start(self, hook: Callable[[], Awaitable[None]]) -> None:
        """Run a coroutine function at start, in the order of registration."""
        self._start_hooks.append(hook)

    def on_stop(self, hook: Callable[[], Awaitable[None]]) -> None:
        """Run a coroutine function at stop, in reverse order of registration."""
        self._stop_hooks.append(hook)

    def spawn(self, coroutine: Awaitable[Any], name: str) -> asyncio.Task:
        """Run a task until the application stops; log it if it fails.

        :param name: what the task does, for logs and the dump.
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    async def start(self) -> None:
        """Run the start hooks.

        :raises ExtensionError: if an extension listens to an event that none declares.
        """
        unknown = self.events.unknown_names()
        if unknown:
            raise ExtensionError(f"events without a declaration: {sorted(unknown)}")
        for hook in self._start_hooks:
            await hook()

    async def stop(self) -> None:
        """Run the stop hooks in reverse order, then cancel the tasks that are left."""
        for hook in reversed(self._stop_hooks):
            await hook()
        # A cancellation can get lost: asyncio.wait_for of Python 3.11, which aiosonic
        # uses, drops one that arrives together with a result, and grpc.aio turns one
        # into an error of its own. A task that goes on is cancelled again.
        while self._tasks:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.wait(list(self._tasks), timeout=CANCEL_AGAIN_SECONDS)

    def dump(self) -> dict[str, Any]:
        """Return the state of every section, for the operators."""
        sections = {
            name: dumper() for name, dumper in sorted(self._dumpers_by_section.items())
        }
        sections["kernel"] = {
            "extensions": list(self._extensions),
            "tasks": sorted(task.get_name() for task in self._tasks),
        }
        return sections

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(
                "task_failed",
                level="ERROR",
                task=task.get_name(),
                error=repr(task.exception()),
            )
