"""Application object that loads extensions, dispatches events, starts and stops."""

import asyncio
import importlib
from collections.abc import Awaitable, Callable
from typing import Any

from camphorgate.clock import Clock, SystemClock
from camphorgate.errors import ExtensionError
from camphorgate.events import EventManager
from camphorgate.log import log_event
from camphorgate.supervision import Supervisor, TaskFunction

# Time that a cancelled task has to end before it is cancelled again.
CANCEL_RETRY_SECONDS = 0.5


class Application:
    """Container for the settings, clock, events, services and tasks of a process.

    An extension is a module with a function ``setup(app)``, which declares events,
    connects listeners, provides services by name, and adds start and stop hooks and
    sections of the state dump.
    """

    __slots__ = (
        "settings",
        "clock",
        "events",
        "supervisor",
        "_services_by_name",
        "_dumpers_by_section",
        "_start_hooks",
        "_stop_hooks",
        "_pending_hooks",
        "_extensions",
        "_tasks",
    )

    def __init__(self, settings: Any, clock: Clock | None = None) -> None:
        """Create an application without extensions.

        :param settings: validated settings of the process.
        :param clock: source of time; the system clock by default.
        """
        self.settings = settings
        self.clock = clock or SystemClock()
        self.events = EventManager()
        self.supervisor = Supervisor(self.clock)
        self._services_by_name: dict[str, Any] = {}
        self._dumpers_by_section: dict[str, Callable[[], Any]] = {}
        self._start_hooks: list[Callable[[], Awaitable[None]]] = []
        self._stop_hooks: list[Callable[[], Awaitable[None]]] = []
        # Start hooks of extensions that are loaded late and have not run yet.
        self._pending_hooks: list[Callable[[], Awaitable[None]]] = []
        self._extensions: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    def setup_extension(self, module_name: str) -> None:
        """Import a module and call its ``setup(app)``, at most once per module.

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

    async def load_extension(self, module_name: str) -> None:
        """Set up and start an extension after the application has started.

        After an error, another call runs the start hooks that are left. The module is
        imported in a worker thread, so the event loop is not blocked.

        :raises ExtensionError: if the module has no ``setup`` function.
        """
        await asyncio.to_thread(importlib.import_module, module_name)
        registered_hooks = len(self._start_hooks)
        self.setup_extension(module_name)
        self._pending_hooks += self._start_hooks[registered_hooks:]
        while self._pending_hooks:
            await self._pending_hooks[0]()
            del self._pending_hooks[0]

    def provide(self, name: str, service: Any) -> None:
        """Register a service under a name for the other extensions.

        :raises ExtensionError: if the name is already registered.
        """
        if name in self._services_by_name:
            raise ExtensionError(f"service {name!r} is already provided")
        self._services_by_name[name] = service

    def service(self, name: str) -> Any:
        """Return the service of a name.

        :raises ExtensionError: if no loaded extension provides it.
        """
        try:
            return self._services_by_name[name]
        except KeyError:
            raise ExtensionError(f"no extension provides service {name!r}") from None

    def has_service(self, name: str) -> bool:
        """Return whether a service of this name is registered."""
        return name in self._services_by_name

    def declare_event(self, name: str) -> None:
        """Declare an event."""
        self.events.declare(name)

    def connect(self, name: str, listener: Callable[..., Any]) -> None:
        """Connect a listener to an event."""
        self.events.connect(name, listener)

    def emit(self, name: str, *args: Any) -> list[Any]:
        """Emit an event and return the results of the listeners."""
        return self.events.emit(name, *args)

    def add_dump_section(self, name: str, dumper: Callable[[], Any]) -> None:
        """Add a section to the state dump.

        :param dumper: returns JSON-serialisable data, which must not contain API keys.
        """
        self._dumpers_by_section[name] = dumper

    def on_start(self, hook: Callable[[], Awaitable[None]]) -> None:
        """Register a start hook; hooks run in the order of registration."""
        self._start_hooks.append(hook)

    def on_stop(self, hook: Callable[[], Awaitable[None]]) -> None:
        """Register a stop hook; hooks run in reverse order of registration."""
        self._stop_hooks.append(hook)

    def spawn(self, coroutine: Awaitable[Any], name: str) -> asyncio.Task:
        """Start a task that is cancelled at stop, and log an error if it fails.

        :param name: name of the task in logs and in the state dump.
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def supervise(self, function: TaskFunction, name: str) -> asyncio.Task:
        """Start a task that the process needs for all of its life.

        It starts again after an error, and is cancelled at stop.

        :param function: returns the task's coroutine; called for each start. It must
            cope with the state that a failed run left behind.
        :param name: name of the task in logs and in the state dump.
        """
        return self.spawn(self.supervisor.run(function, name), name)

    async def start(self) -> None:
        """Check the declared events and run the start hooks.

        :raises ExtensionError: if a listener is connected to an undeclared event.
        """
        undeclared = self.events.undeclared_names()
        if undeclared:
            raise ExtensionError(f"events without a declaration: {sorted(undeclared)}")
        for hook in self._start_hooks:
            await hook()

    async def stop(self) -> None:
        """Run the stop hooks in reverse order, then cancel the remaining tasks."""
        for hook in reversed(self._stop_hooks):
            await hook()
        # A cancellation can be lost: asyncio.wait_for of Python 3.11, which aiosonic
        # uses, drops one that arrives together with a result, and grpc.aio converts it
        # into an error of its own. A task that keeps running is cancelled again.
        while self._tasks:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.wait(list(self._tasks), timeout=CANCEL_RETRY_SECONDS)

    def dump(self) -> dict[str, Any]:
        """Return the state dump for operators, with the data of every section."""
        sections = {
            name: dumper() for name, dumper in sorted(self._dumpers_by_section.items())
        }
        sections["kernel"] = {
            "extensions": list(self._extensions),
            "tasks": sorted(task.get_name() for task in self._tasks),
            "failed_tasks": self.supervisor.dump(),
        }
        return sections

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(
                "task_failed",
                level="ERROR",
                task=task.get_name(),
                error=repr(task.exception()),
            )
