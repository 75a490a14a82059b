"""Watches prefixes of the store while this instance is a watcher.

:mod:`camphorgate.serving.watcher_selection` elects the watchers of a zone. Every
instance reads the prefixes once when it starts; afterwards the watchers send changes to
the others.
"""

import asyncio
import functools
import random
from collections.abc import Callable, Mapping

from camphorgate.application import Application
from camphorgate.kv.errors import KvError
from camphorgate.kv.records import WatchBatch
from camphorgate.log import log_event
from camphorgate.serving.watch_schedule import (
    MAX_WATCH_SECONDS,
    order_watchers,
    watch_seconds,
)
from camphorgate.serving.watcher_selection import WatcherSelection

# Pause before a broken watch is opened again; doubles up to the maximum.
MIN_RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 1.0
# Maximum for instances that watch the store only because the elected watchers lost it:
# a long outage makes many of them.
MAX_FALLBACK_RECONNECT_SECONDS = 2.0
# An open watch does not show whether the store still responds, so a watcher probes it
# at this interval. Two probes without an answer in time count as silence. A slow store
# answers within 0.2 s (incidents at users); the interval and two probe timeouts leave
# 0.8 s of the smallest bound on a change (2 s) to the instance that takes over.
CHECK_SECONDS = 0.4
CHECK_ANSWER_SECONDS = 0.4
# A timeout that ends this much too late shows that this process got no processor time,
# and says nothing about the store.
MAX_SCHEDULING_DELAY_SECONDS = 0.05
# While calls to the store are bounded, a watch looks at this interval whether it may
# call. It makes no call by this.
ADMISSION_POLL_SECONDS = 0.05
# How often an instance checks whether it should be a watcher.
ROLE_SECONDS = 0.1
# Without a list of the members, the role is decided this long after the start.
ROLE_DECISION_TIMEOUT_SECONDS = 2.0

Handler = Callable[[WatchBatch], float]


class Watches:
    """The store watches of this instance and their health."""

    __slots__ = (
        "watcher_selection",
        "watching",
        "_app",
        "_store",
        "_handlers_by_prefix",
        "_watcher_only_prefixes",
        "_probe_key",
        "_tasks_by_prefix",
        "_sound_since_by_prefix",
        "_random",
        "_watch_order",
        "_decided",
        "_list_was_current",
        "_reopened_at",
        "_known_unanswered_calls",
    )

    def __init__(
        self,
        app: Application,
        handlers_by_prefix: dict[str, Handler],
        watcher_only_prefixes: frozenset[str],
        probe_key: str,
    ) -> None:
        """Prepare the watches without calling the store.

        :param handlers_by_prefix: each handles a batch and returns for how many
            seconds further changes are collected.
        :param watcher_only_prefixes: the prefixes that only a watcher reads.
        :param probe_key: a small key that is read to test whether the store answers.
        """
        self.watcher_selection = WatcherSelection(app.settings.instance_id)
        self.watching = True
        self._app = app
        self._store = app.service("store")
        self._handlers_by_prefix = handlers_by_prefix
        self._watcher_only_prefixes = watcher_only_prefixes
        self._probe_key = probe_key
        self._tasks_by_prefix: dict[str, asyncio.Task] = {}
        # Only the prefixes whose watch works are present.
        self._sound_since_by_prefix: dict[str, float] = {}
        self._random = random.Random()
        # The instances that should watch, in the order in which their watches end.
        self._watch_order: list[str] = []
        self._decided = asyncio.Event()
        # Whether other watchers followed the list until this instance took over.
        self._list_was_current = False
        self._reopened_at = float("-inf")
        self._known_unanswered_calls = 0
        self._store.add_restore_listener(self._receive_restore)

    async def start(self) -> None:
        """Read the prefixes, and watch them as long as the role requires it."""
        for prefix in self._handlers_by_prefix.keys() - self._watcher_only_prefixes:
            self._start(prefix)
        self._app.supervise(self._keep_role, "watcher role")
        self._app.supervise(self._check_store, "store check")

    @property
    def chosen(self) -> bool:
        """Return whether the role is decided and this instance is a watcher."""
        return self.watching and self._decided.is_set()

    @property
    def sound(self) -> bool:
        """Return whether the state of this instance is up to date.

        For a watcher, whether the store answers all its watches; for another instance,
        whether it is in contact with a sound watcher.
        """
        if self.watching:
            return len(self._sound_since_by_prefix) == len(self._tasks_by_prefix)
        return self.watcher_selection.in_contact(self._app.clock.monotonic())

    def sound_since(self, prefix: str) -> float | None:
        """Return since when the watch of a prefix has worked without interruption."""
        return self._sound_since_by_prefix.get(prefix)

    def restart(self, reason: str) -> None:
        """Reopen every watch, as its connection may have gone silent.

        The store counts as lost until all of them work, so that peers are asked.
        """
        log_event("watches_reopened", level="WARNING", reason=reason)
        self._reopened_at = self._app.clock.monotonic()
        self._list_was_current = False
        self._sound_since_by_prefix.clear()
        for prefix, task in list(self._tasks_by_prefix.items()):
            task.cancel()
            self._start(prefix)
        self._app.emit("store-lost")

    def _receive_restore(self, first: bool) -> None:
        """Read everything again once the store came back from an older copy."""
        if not first and self.watching:
            # The watch that received the response may be one of those that end.
            asyncio.get_running_loop().call_soon(
                self.restart, "the store came back from an older copy"
            )

    def receiving(self, seconds: float) -> bool:
        """Return whether the store sent part of a response within the last seconds.

        A large value takes a second or more on a slow link. Until it is complete, its
        watch is not behind and the store is not silent.
        """
        return self._store.receiving(seconds)

    def note_members_listed(self, zone_by_instance: Mapping[str, str]) -> None:
        """Derive the order of the watches; the role can be decided, too.

        :param zone_by_instance: zone of each listed instance and of this one.
        """
        self._watch_order = order_watchers(zone_by_instance)
        self._decided.set()

    def _start(self, prefix: str) -> None:
        task = self._app.supervise(
            functools.partial(self._follow, prefix), f"watch {prefix}"
        )
        self._tasks_by_prefix[prefix] = task

    async def _keep_role(self) -> None:
        try:
            async with asyncio.timeout(ROLE_DECISION_TIMEOUT_SECONDS):
                await self._decided.wait()
        except TimeoutError:
            self._decided.set()
        if self.sound and not self.watcher_selection.should_watch(
            False, self._app.clock.monotonic()
        ):
            # From here on, the watchers send the changes of what was read.
            self._stop_watching()
        while True:
            now = self._app.clock.monotonic()
            needed = self.watcher_selection.should_watch(self.watching, now)
            if not self.sound and self.watcher_selection.may_yield(now):
                # The store does not answer this instance; opening its watches once the
                # store is back would only add calls.
                needed = False
            needed = needed or self._app.service("members").fencing > 0
            if needed and len(self._tasks_by_prefix) < len(self._handlers_by_prefix):
                self._start_watching(now)
            elif (
                self.watching and not needed and self.watcher_selection.in_contact(now)
            ):
                self._stop_watching()
            await asyncio.sleep(ROLE_SECONDS)

    async def _check_store(self) -> None:
        """Reopen the watches whenever the store stops answering this watcher."""
        await self._decided.wait()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if not self._is_following():
                continue
            answers = await self._store_answers()
            if not self._has_unanswered_calls() and answers:
                continue
            if self.receiving(CHECK_ANSWER_SECONDS):
                continue
            reason = "the store does not answer"
            if await self._store_answers():
                # A new connection works, so those of the open watches may be dead.
                reason = "a connection to the store went silent"
                if self._app.clock.monotonic() < self._reopened_at + MAX_WATCH_SECONDS:
                    continue
            # The watches may have detected the silence themselves meanwhile.
            if self._is_following():
                self.restart(reason)

    def _has_unanswered_calls(self) -> bool:
        """Return whether calls got no response since this was called last.

        Such a call used a pooled connection that went silent. The next probe uses a new
        one, and would not show that the watches may be silent, too.
        """
        known = self._known_unanswered_calls
        self._known_unanswered_calls = self._store.unanswered_calls
        return self._known_unanswered_calls > known

    def _is_following(self) -> bool:
        return self.watching and self.sound

    async def _store_answers(self) -> bool:
        """Probe the store; a timeout without processor time counts as an answer."""
        clock = self._app.clock
        until = clock.monotonic() + CHECK_ANSWER_SECONDS
        try:
            async with asyncio.timeout(CHECK_ANSWER_SECONDS):
                await self._store.check(self._probe_key)
        except KvError:
            return False
        except TimeoutError:
            return clock.monotonic() - until > MAX_SCHEDULING_DELAY_SECONDS
        return True

    def _start_watching(self, now: float) -> None:
        if not self.watching:
            doubtful = self.watcher_selection.store_lost_recently(now)
            self._list_was_current = not doubtful
            log_event("watching", doubtful=doubtful)
            if doubtful and self._app.settings.store.bound_calls:
                self._app.service("store_calls").mark_doubtful(now)
        self.watching = True
        for prefix in self._handlers_by_prefix.keys() - self._tasks_by_prefix.keys():
            self._start(prefix)
        self._app.emit("watching-begun")

    def _stop_watching(self) -> None:
        log_event("watching_ended")
        self.watching = False
        for task in self._tasks_by_prefix.values():
            task.cancel()
        self._tasks_by_prefix.clear()
        self._sound_since_by_prefix.clear()

    async def _follow(self, prefix: str) -> None:
        handler = self._handlers_by_prefix[prefix]
        delay = MIN_RECONNECT_SECONDS
        while True:
            try:
                async for batch in self._store.watch(
                    prefix, functools.partial(self._watch_seconds, prefix)
                ):
                    self._mark_sound(prefix)
                    delay = MIN_RECONNECT_SECONDS
                    await asyncio.sleep(handler(batch))
                    await self._decided.wait()
            except KvError as error:
                self._mark_lost(prefix, error.message)
                if self._app.service("store_calls").closed:
                    # The delay between calls is that of the probes.
                    await asyncio.sleep(ADMISSION_POLL_SECONDS)
                    continue
            except Exception as error:
                # The batch may be applied in part; the next watch reads all entries.
                self._mark_lost(prefix, repr(error))
                raise
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(self._max_reconnect_seconds(), delay * 2)

    def _watch_seconds(self, prefix: str) -> float:
        """Return for how long the next watch of a prefix is open.

        What only watchers read is not spread to others, so its watches need no turns.
        """
        if prefix in self._watcher_only_prefixes:
            return MAX_WATCH_SECONDS
        return watch_seconds(
            self._app.settings.instance_id,
            self._watch_order,
            self._app.service("gossip").synchronized_now(),
        )

    def _max_reconnect_seconds(self) -> float:
        now = self._app.clock.monotonic()
        first = self.watcher_selection.is_candidate(now)
        return MAX_RECONNECT_SECONDS if first else MAX_FALLBACK_RECONNECT_SECONDS

    def _mark_sound(self, prefix: str) -> None:
        if prefix in self._sound_since_by_prefix:
            return
        now = self._app.clock.monotonic()
        if not self._sound_since_by_prefix:
            # Calls that failed before any of these watches was open do not show that
            # their connections are silent.
            self._known_unanswered_calls = self._store.unanswered_calls
        # An entry that is missing from the first list after an outage may come back. If
        # only the other watchers fell silent, there was no outage.
        self._sound_since_by_prefix[prefix] = (
            float("-inf") if self._list_was_current else now
        )
        if self.sound:
            log_event("store_regained")

    def _mark_lost(self, prefix: str, message: str) -> None:
        lost = self.sound
        self._list_was_current = False
        self._sound_since_by_prefix.pop(prefix, None)
        if lost:
            log_event("store_lost", level="WARNING", watch=prefix, error=message)
            self._app.emit("store-lost")
