"""The service ``usage``: what the gateway calls, and the tasks behind it."""

import asyncio
from typing import Any

from camphorgate.accounting.windows import (
    Counts,
    UsageBook,
    UsageKey,
    author_id,
    split_author,
    window_at,
)
from camphorgate.application import Application
from camphorgate.kv.errors import KvConflict, KvError
from camphorgate.log import log_event
from camphorgate.membership.roster import MemberState
from camphorgated.ext.usage.copying import Copying
from camphorgated.ext.usage.handing import Handing
from camphorgated.ext.usage.reporting import Reporting
from camphorgated.ext.usage.timing import UsageTiming

# The length of a window, written by the first instance that ever starts.
LENGTH_KEY = "usage-window-seconds"
STOP_SECONDS = 5.0


class UsageService:
    """Counts usage and carries it to the platform."""

    def __init__(self, app: Application, timing: UsageTiming | None = None) -> None:
        """Prepare the service; nothing runs before ``start``."""
        self.book: UsageBook | None = None
        self.copying: Copying | None = None
        self.handing: Handing | None = None
        self.reporting: Reporting | None = None
        self.window_seconds = app.settings.timing.usage_window_seconds
        self.timing = timing or UsageTiming()
        self._app = app
        self._membership: Any = None

    async def start(self) -> None:
        """Agree on the window length and start the tasks."""
        app = self._app
        self._membership = membership = app.service("membership")
        self.window_seconds = await self._agree_window_seconds()
        author = author_id(membership.instance_id, membership.incarnation)
        self.book = UsageBook(author, self.window_now())
        self.copying = Copying(
            self.book,
            membership,
            app.settings.availability_zone,
            app.clock,
            self.timing,
        )
        membership.handle_usage(self.copying.batch_received, self.copying.ack_received)
        kv = app.service("kv")
        self.handing = Handing(
            self.book, self.copying, kv, self.window_now, self.is_dead, self.timing
        )
        app.spawn(self.copying.run(), "usage copies")
        app.spawn(self.handing.run(), "usage parts")
        if app.has_service("duties"):
            self.reporting = Reporting(
                kv,
                app.service("duties"),
                app.clock,
                self.window_seconds,
                self.is_dead,
                self._is_live,
                self.timing,
            )
            app.spawn(self.reporting.run(), "usage reports")

    async def stop(self) -> None:
        """Hand in everything; if that fails, the holder of the copy does it."""
        if self.handing is None:
            return
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self.handing.end()
        except (KvError, TimeoutError) as error:
            log_event("usage_left_to_copy", level="WARNING", error=repr(error))

    def record(self, entry: Any) -> None:
        """Count what one request used.

        :param entry: ``workspace``, ``model``, ``service``, ``calls``,
            ``prompt_tokens`` and ``output_tokens``.
        """
        key = UsageKey(entry.workspace, entry.model, entry.service)
        counts = Counts(entry.calls, entry.prompt_tokens, entry.output_tokens)
        self.book.record(key, counts, self.window_now())

    async def durable(self, entry: Any) -> bool:
        """Wait until an entry survives the kill of this process, a bounded time.

        :param entry: one that was recorded.
        :returns: false if it is not protected; that is counted and shown.
        """
        return await self.copying.durable()

    def window_now(self) -> int:
        """Return the number of the current window."""
        return window_at(self._app.clock.now().timestamp(), self.window_seconds)

    def is_dead(self, author: str) -> bool:
        """Tell whether an author's process has certainly ended.

        Silence is no proof; a newer incarnation of the instance is, and so is the
        platform's word that the instance is gone. If the platform errs, the ledger
        keeps the author's usage from counting twice.
        """
        instance_id, incarnation = split_author(author)
        membership = self._membership
        if instance_id == membership.instance_id:
            return incarnation < membership.incarnation
        if membership.platform_state(instance_id) == "gone":
            return True
        # The roster also keeps the instances that are gone for a while.
        member = membership.roster.member(instance_id)
        if member is None:
            return False
        return member.state == MemberState.GONE or member.incarnation > incarnation

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        if self.book is None:
            return {}
        state = {
            "author": self.book.author,
            "window": self.book.window,
            "window_seconds": self.window_seconds,
            "windows_waiting": self.book.waiting,
            "copy_holder": self.copying.holder,
            "unprotected_requests": self.copying.unprotected,
            "copies_held": self.copying.store.authors(),
            "taken_over": self.handing.taken_over,
        }
        if self.reporting is not None:
            lateness = self.reporting.lateness
            state |= {
                "windows_reported": lateness.reported,
                "windows_late": lateness.late,
                "last_late_seconds": lateness.last_seconds,
                "highest_late_seconds": lateness.highest_seconds,
                "waiting_for": list(self.reporting.waiting_for),
            }
        return state

    def _is_live(self, instance_id: str) -> bool:
        return any(
            member.instance_id == instance_id and member.live
            for member in self._membership.members()
        )

    async def _agree_window_seconds(self) -> int:
        """Return the window length of the whole system.

        Instances that count in windows of different lengths would wait for one
        another's parts, so the first length that is written holds for good. Without
        KV the settings decide.
        """
        own = self.window_seconds
        kv = self._app.service("kv")
        try:
            await kv.create(LENGTH_KEY, str(own).encode())
        except KvConflict:
            return await self._read_window_seconds(kv, own)
        except KvError as error:
            log_event("usage_window_unconfirmed", level="WARNING", error=error.message)
        return own

    async def _read_window_seconds(self, kv: Any, own: int) -> int:
        try:
            entry = await kv.get(LENGTH_KEY)
        except KvError as error:
            log_event("usage_window_unconfirmed", level="WARNING", error=error.message)
            return own
        agreed = int(entry.value) if entry else own
        if agreed != own:
            log_event("usage_window_differs", level="WARNING", own=own, agreed=agreed)
        return agreed
