"""Tests of errors in the tasks that a hosted daemon needs for all of its life."""

import asyncio
from unittest import mock

from camphorgate.application import Application
from tests.hosted import HostedCase

# Long enough for the late extensions, which start their tasks a second after the start.
FAILURE_SECONDS = 1.5
# Tasks that end with the caller's connection.
SHORT_TASKS = {"connection"}


class FailingOnce:
    """Ends the first run of each supervised task by an error."""

    def __init__(self) -> None:
        """Start with tasks that have not failed."""
        self.failed_names: set[str] = set()
        self._failed: set[tuple[int, str]] = set()
        self._supervise = Application.supervise

    def install(self, case) -> None:
        """Replace ``Application.supervise`` until the test ends."""
        failing = self

        def supervise(app, function, name):
            return failing._supervise(app, failing.wrap(app, function, name), name)

        patcher = mock.patch.object(Application, "supervise", supervise)
        patcher.start()
        case.addCleanup(patcher.stop)

    def wrap(self, app, function, name):
        """Return a task function whose first run fails."""

        async def run():
            if (id(app), name) in self._failed:
                return await function()
            work = asyncio.ensure_future(function())
            await asyncio.wait([work], timeout=FAILURE_SECONDS)
            self._failed.add((id(app), name))
            self.failed_names.add(name)
            work.cancel()
            raise OverflowError("a number is too large")

        return run


class FailingTaskTests(HostedCase):
    """No error in one task ends what it does for good."""

    async def check_serving(self, apps, worker: str, version: int):
        """Check that instances follow the store and serve requests."""
        for app in apps:
            directory = app.service("directory")
            await self.eventually(
                lambda directory=directory: (
                    worker in directory.table.by_id
                    and directory.configuration.version == version
                    and directory.sound
                )
            )
            self.assertEqual((await self.request(app, "/read/a")).status, 200)

    async def test_every_task_starts_again(self):
        """Guards against an instance that goes on without one of its tasks."""
        failing = FailingOnce()
        failing.install(self)
        self.configure()
        await self.add_worker("w1")
        apps = [
            await self.start_daemon(
                instance_id=f"entry-{number}", duties=["usage", "fleet"]
            )
            for number in (1, 2)
        ]
        await asyncio.sleep(2 * FAILURE_SECONDS)
        self.configure(2)
        await self.add_worker("w2")
        await self.check_serving(apps, "w2", 2)
        await self.eventually(
            lambda: all(app.service("gossip").answers_fetches for app in apps)
        )
        for app in apps:
            kernel = app.dump()["kernel"]
            tasks = set(kernel["tasks"]) - SHORT_TASKS
            self.assertLessEqual(tasks, failing.failed_names)
            self.assertIn("usage duty", kernel["failed_tasks"])
            self.assertIn("watch servers/", kernel["failed_tasks"])

    async def test_watch_whose_batch_cannot_be_applied_is_not_sound(self):
        """Guards against an instance that counts as up to date without its watch."""
        self.configure()
        await self.add_worker("w1")
        app = await self.start_ready()
        watches = app.service("directory").watches
        handler = watches._handlers_by_prefix["servers/"]
        sound = []

        def fail_once(batch):
            if not sound:
                sound.append(True)
                raise OverflowError("a number is too large")
            sound.append(watches.sound)
            return handler(batch)

        watches._handlers_by_prefix["servers/"] = fail_once
        lost = []
        app.connect("store-lost", lambda: lost.append(watches.sound))
        # A watch takes its handler when it starts.
        watches._tasks_by_prefix["servers/"].cancel()
        watches._start("servers/")
        await self.add_worker("w2")
        await self.check_serving([app], "w2", 1)
        self.assertEqual(lost[:1], [False])
