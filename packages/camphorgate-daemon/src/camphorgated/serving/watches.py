"""Follows prefixes of the store, while this instance is one of those that do.

Whether it is follows from :mod:`camphorgate.serving.relay`. Every instance reads the
lists once at its start; the others of its zone then hear of changes from the watchers.
"""

import asyncio
import random
from collections.abc import Callable

from camphorgate.application import Application
from camphorgate.kv.errors import KvError
from camphorgate.kv.records import WatchBatch
from camphorgate.log import log_event
from camphorgate.serving.relay import Relay

# Pause before a broken watch is opened again; doubles up to the longest.
FIRST_RETURN_SECONDS = 0.1
LONGEST_RETURN_SECONDS = 1.0
# Instances that follow the store only because its watchers lost it ask less often, as
# there are many of them in a long outage.
LONGEST_STAND_IN_SECONDS = 2.0
# How long the store holds a watch. A connection that went silent unnoticed is found
# after this time.
WATCH_SECONDS = 5.0
# A watch that waits shows nothing while the store is silent, so a watcher asks for
# something else this often. Two answers that do not come in time tell of silence. A
# slow store answers within 0.2 s (users' troubles); all three times together leave 0.8
# s of the smallest bound on a change (2 s) to whoever takes over.
CHECK_SECONDS = 0.4
CHECK_ANSWER_SECONDS = 0.4
# A wait that ends this much too late shows that this process had no processor time, and
# nothing of the store.
OWN_DELAY_SECONDS = 0.05
# How often an instance looks whether it should watch.
ROLE_SECONDS = 0.1
# Without a list of the instances, the role is decided this long after the start.
UNDECIDED_SECONDS = 2.0

Handler = Callable[[WatchBatch], float]


class Watches:
    """The watches of this instance, and since when each of them works."""

    __slots__ = (
        "relay",
        "watching",
        "_app",
        "_store",
        "_handlers_by_prefix",
        "_late_prefixes",
        "_checked_key",
        "_tasks_by_prefix",
        "_sound_since_by_prefix",
        "_random",
        "_decided",
        "_vouched",
        "_reopened_at",
    )

    def __init__(
        self,
        app: Application,
        handlers_by_prefix: dict[str, Handler],
        late_prefixes: frozenset[str],
        checked_key: str,
    ) -> None:
        """Prepare without calling the store.

        :param handlers_by_prefix: each takes a batch and returns how many seconds
            further changes are collected for.
        :param late_prefixes: those that only a watcher reads.
        :param checked_key: a small key that is asked for to see whether the store
            answers.
        """
        self.relay = Relay(app.settings.instance_id)
        self.watching = True
        self._app = app
        self._store = app.service("store")
        self._handlers_by_prefix = handlers_by_prefix
        self._late_prefixes = late_prefixes
        self._checked_key = checked_key
        self._tasks_by_prefix: dict[str, asyncio.Task] = {}
        # Those that do not work are missing.
        self._sound_since_by_prefix: dict[str, float] = {}
        self._random = random.Random()
        self._decided = asyncio.Event()
        # The list was followed by the watchers until this instance took over.
        self._vouched = False
        self._reopened_at = float("-inf")

    async def start(self) -> None:
        """Read the prefixes, and follow them for as long as that is needed."""
        for prefix in self._handlers_by_prefix.keys() - self._late_prefixes:
            self._start(prefix)
        self._app.spawn(self._keep_role(), "watcher role")
        self._app.spawn(self._check_store(), "store check")

    @property
    def chosen(self) -> bool:
        """Tell whether this instance has been found to be a watcher."""
        return self.watching and self._decided.is_set()

    @property
    def sound(self) -> bool:
        """Tell whether what this instance knows is up to date.

        Of a watcher, whether the store answers all its watches; of another instance,
        whether it is in touch with a sound watcher.
        """
        if self.watching:
            return len(self._sound_since_by_prefix) == len(self._tasks_by_prefix)
        return self.relay.in_touch(self._app.clock.monotonic())

    def sound_since(self, prefix: str) -> float | None:
        """Return since when this instance itself follows a prefix without a break."""
        return self._sound_since_by_prefix.get(prefix)

    def restart(self, reason: str) -> None:
        """Open every watch anew, as its connection may have gone silent.

        Until each of them works, the store counts as lost, so that peers are asked.
        """
        log_event("watches_reopened", level="WARNING", reason=reason)
        self._reopened_at = self._app.clock.monotonic()
        self._vouched = False
        self._sound_since_by_prefix.clear()
        for prefix, task in list(self._tasks_by_prefix.items()):
            task.cancel()
            self._start(prefix)
        self._app.emit("store-lost")

    def role_known(self) -> None:
        """Note that the instances are listed, so that the role can be decided."""
        self._decided.set()

    def _start(self, prefix: str) -> None:
        task = self._app.spawn(self._follow(prefix), f"watch {prefix}")
        self._tasks_by_prefix[prefix] = task

    async def _keep_role(self) -> None:
        try:
            async with asyncio.timeout(UNDECIDED_SECONDS):
                await self._decided.wait()
        except TimeoutError:
            self._decided.set()
        if self.sound and not self.relay.needed(False, self._app.clock.monotonic()):
            # What was read is told on by the watchers from here on.
            self._end()
        while True:
            now = self._app.clock.monotonic()
            needed = self.relay.needed(self.watching, now)
            needed = needed or self._app.service("members").fencing > 0
            if needed and len(self._tasks_by_prefix) < len(self._handlers_by_prefix):
                self._begin(now)
            elif self.watching and not needed and self.relay.in_touch(now):
                self._end()
            await asyncio.sleep(ROLE_SECONDS)

    async def _check_store(self) -> None:
        """Open the watches anew whenever the store falls silent for this watcher."""
        await self._decided.wait()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if not self._follows() or await self._answers():
                continue
            reason = "the store does not answer"
            if await self._answers():
                # A new connection works, so those that wait may be silent for good.
                reason = "a connection to the store went silent"
                if self._app.clock.monotonic() < self._reopened_at + WATCH_SECONDS:
                    continue
            # Its watches may have shown the silence meanwhile.
            if self._follows():
                self.restart(reason)

    def _follows(self) -> bool:
        return self.watching and self.sound

    async def _answers(self) -> bool:
        """Tell whether the store answers a small call soon, as far as that shows."""
        clock = self._app.clock
        until = clock.monotonic() + CHECK_ANSWER_SECONDS
        try:
            async with asyncio.timeout(CHECK_ANSWER_SECONDS):
                await self._store.check(self._checked_key)
        except KvError:
            return False
        except TimeoutError:
            return clock.monotonic() - until > OWN_DELAY_SECONDS
        return True

    def _begin(self, now: float) -> None:
        if not self.watching:
            log_event("watching", doubtful=self.relay.doubtful(now))
            self._vouched = not self.relay.doubtful(now)
        self.watching = True
        for prefix in self._handlers_by_prefix.keys() - self._tasks_by_prefix.keys():
            self._start(prefix)
        self._app.emit("watching-begun")

    def _end(self) -> None:
        log_event("watching_ended")
        self.watching = False
        for task in self._tasks_by_prefix.values():
            task.cancel()
        self._tasks_by_prefix.clear()
        self._sound_since_by_prefix.clear()

    async def _follow(self, prefix: str) -> None:
        handler = self._handlers_by_prefix[prefix]
        delay = FIRST_RETURN_SECONDS
        while True:
            try:
                async for batch in self._store.watch(prefix, lambda: WATCH_SECONDS):
                    self._works(prefix)
                    delay = FIRST_RETURN_SECONDS
                    await asyncio.sleep(handler(batch))
                    await self._decided.wait()
            except KvError as error:
                self._fails(prefix, error.message)
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(self._longest_return(), delay * 2)

    def _longest_return(self) -> float:
        now = self._app.clock.monotonic()
        first = self.relay.elected(now)
        return LONGEST_RETURN_SECONDS if first else LONGEST_STAND_IN_SECONDS

    def _works(self, prefix: str) -> None:
        if prefix in self._sound_since_by_prefix:
            return
        now = self._app.clock.monotonic()
        # An entry that is missing from the first list after an outage may come back;
        # where the watchers just fell silent there was none.
        self._sound_since_by_prefix[prefix] = float("-inf") if self._vouched else now
        if self.sound:
            log_event("store_regained")

    def _fails(self, prefix: str, message: str) -> None:
        lost = self.sound
        self._vouched = False
        self._sound_since_by_prefix.pop(prefix, None)
        if lost:
            log_event("store_lost", level="WARNING", watch=prefix, error=message)
            self._app.emit("store-lost")
