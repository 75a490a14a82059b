"""Reports the figures of each usage window, which never change once written.

The holder of the duty writes a window's figures to the store before it reports them. A
later holder reports exactly the stored figures. As the store may come back from an
older copy without them, they are sent to peers before they are reported; see
:mod:`camphorgate.serving.frozen_figures`.
"""

import asyncio

import msgspec

from camphorgate.application import Application
from camphorgate.kv.errors import KvError
from camphorgate.kv.records import Delete, KvEntry, Put, absent
from camphorgate.log import log_event
from camphorgated.serving.directory import INSTANCE_PREFIX
from camphorgated.serving.errors import CallFailed

WINDOW_PREFIX = INSTANCE_PREFIX + "usage/"
TICK_SECONDS = 0.25
# Every reachable instance has sent its counters this long after a window's end.
SETTLE_SECONDS = 0.6
# This long before its report is due, a window is closed without the counters of
# instances that do not respond.
CLOSE_MARGIN_SECONDS = 3.0
# A new holder receives the counters of all instances within this time: watchers send
# who holds the duty, then each instance sends its counters, at the latest when it
# repeats them.
COUNTER_COLLECTION_SECONDS = 1.5
# Windows are reported for at most this long after they were due.
MAX_OVERDUE_SECONDS = 10.0
# Frozen windows are removed this long after they can no longer be reported. A window
# that is removed earlier would be frozen again, with other figures.
RETENTION_SECONDS = 30.0
# Removals in one write, which is limited to 32 entries.
MAX_REMOVALS_PER_WRITE = 20


class UsageDuty:
    """Freezes and reports windows while this instance holds the duty."""

    __slots__ = (
        "reported",
        "_app",
        "_store",
        "_platform",
        "_members",
        "_gossip",
        "_shared",
        "_directory",
        "_first_window",
        "_frozen",
        "_read_under",
        "_fencing",
        "_duty_held_since",
    )

    def __init__(self, app: Application) -> None:
        """Start with nothing reported."""
        self._app = app
        self._store = app.service("store")
        self._platform = app.service("dialect")
        self._members = app.service("members")
        self._gossip = app.service("gossip")
        self._directory = app.service("directory")
        self._shared = app.service("frozen_figures")
        self.reported: set[int] = set()
        self._frozen: dict[int, dict[str, int]] = {}
        self._read_under = 0
        self._fencing = 0
        self._duty_held_since = 0.0
        usage = self._gossip.usage
        self._first_window = usage.window_at(self._gossip.synchronized_now())

    async def run(self) -> None:
        """Report windows for as long as the process runs."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._members.holds_duty() or not self._directory.sound:
                continue
            try:
                if self._read_under != self._members.fencing:
                    await self._read_frozen()
            except KvError as error:
                log_event("windows_not_read", level="WARNING", error=error.message)
                continue
            for window in self._due_windows():
                if not self._members.holds_duty():
                    break
                await self._report(window)

    def _due_windows(self) -> list[int]:
        usage = self._gossip.usage
        now = self._gossip.synchronized_now()
        late = self._app.settings.times.usage_late_seconds
        newest = usage.window_at(now - SETTLE_SECONDS) - 1
        oldest = self._oldest_due()
        known = {*self._frozen, *self._shared.figures.windows()}
        first = min([self._first_window, *known])
        due = []
        heard = self._counters_collected()
        for window in range(max(oldest, first), newest + 1):
            if window in self.reported:
                continue
            waited = now - usage.window_end(window)
            complete = usage.is_complete(window, self._gossip.live_incarnations())
            overdue = heard and waited > late - CLOSE_MARGIN_SECONDS
            if window in known or complete or overdue:
                due.append(window)
        return due

    def _counters_collected(self) -> bool:
        """Return whether the instances had time to send this holder their counters.

        Figures without them would stay wrong; waiting only makes the report late.
        """
        if self._fencing != self._members.fencing:
            self._fencing = self._members.fencing
            self._duty_held_since = self._app.clock.monotonic()
        return (
            self._app.clock.monotonic() - self._duty_held_since
            >= COUNTER_COLLECTION_SECONDS
        )

    async def _read_frozen(self) -> None:
        """Read the windows that earlier holders froze, once per tenure of the duty."""
        fencing = self._members.fencing
        entries, _ = await self._store.read_prefix(WINDOW_PREFIX)
        self._frozen = {
            int(entry.key.removeprefix(WINDOW_PREFIX)): _decode(entry)
            for entry in entries
        }
        self._read_under = fencing
        for window, counts in self._frozen.items():
            self._shared.figures.record(window, counts)

    async def _report(self, window: int) -> None:
        try:
            counts = await self._freeze(window)
        except KvError as error:
            log_event(
                "usage_not_frozen", level="WARNING", window=window, error=error.message
            )
            return
        if counts is None:
            self.reported.add(window)
            return
        if not self._shared.broadcast(window, counts):
            # It is reported at the next tick, once peers have the figures.
            return
        fencing = self._members.fencing
        if not self._members.holds_duty():
            return
        holder = self._members.own.instance
        try:
            verdict = await self._members.call_as_holder(
                fencing,
                lambda seconds: self._platform.report_usage(
                    holder, fencing, window, counts, seconds
                ),
            )
        except CallFailed as error:
            log_event(
                "usage_not_reported",
                level="WARNING",
                window=window,
                error=error.message,
            )
            return
        log_event(
            "usage_reported",
            window=window,
            status=verdict.status,
            fencing=fencing,
            total=sum(counts.values()),
            late=self._gossip.synchronized_now()
            - self._gossip.usage.window_end(window),
        )
        if verdict.accepted:
            self.reported.add(window)
        elif verdict.fenced:
            self._members.drop_refused_duty(fencing)

    def _oldest_due(self) -> int:
        """Return the oldest window that any holder may still report."""
        late = self._app.settings.times.usage_late_seconds
        now = self._gossip.synchronized_now()
        return self._gossip.usage.window_at(now - late - MAX_OVERDUE_SECONDS)

    def _removable(self) -> list[int]:
        kept = int(RETENTION_SECONDS // self._gossip.usage.window_seconds) + 1
        oldest = self._oldest_due() - kept
        return [window for window in self._frozen if window < oldest]

    async def _freeze(self, window: int) -> dict[str, int] | None:
        """Return the figures of a window that the store keeps, or write them.

        Figures that a former holder wrote and the store lost are written again.

        :returns: ``None`` if the window may have been reported with other figures.
        :raises KvError: if the store can neither be read nor written.
        """
        counts = self._frozen.get(window)
        if counts is not None:
            return counts
        key = f"{WINDOW_PREFIX}{window}"
        counts = self._shared.figures.get(window)
        if counts is None:
            due_at = self._gossip.usage.window_end(window) + SETTLE_SECONDS
            if not self._shared.may_freeze(window, due_at):
                return None
            counts = self._gossip.usage.totals(window)
        old = self._removable()
        operations = [Put(key, msgspec.json.encode(counts))]
        operations += [
            Delete(f"{WINDOW_PREFIX}{item}") for item in old[:MAX_REMOVALS_PER_WRITE]
        ]
        done = await self._store.transact([absent(key)], operations)
        if not done.succeeded:
            entry = done.entries_by_key.get(key) or await self._store.get(key)
            if entry is None:
                raise KvError(
                    f"the frozen usage window {window} was removed from the store"
                )
            counts = _decode(entry)
        for item in old[:MAX_REMOVALS_PER_WRITE]:
            self._frozen.pop(item, None)
        self._frozen[window] = counts
        return counts


def _decode(entry: KvEntry) -> dict[str, int]:
    return msgspec.json.decode(entry.value, type=dict[str, int])


def setup(app: Application) -> None:
    """Start reporting if the settings assign the usage duty."""
    if "usage" not in app.settings.duties:
        return
    duty = UsageDuty(app)
    app.add_dump_section("usage", lambda: {"reported": sorted(duty.reported)[-10:]})

    async def start() -> None:
        app.supervise(duty.run, "usage duty")

    app.on_start(start)
