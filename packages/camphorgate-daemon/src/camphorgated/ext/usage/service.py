"""Provides ``usage``: counts usage and starts the tasks that copy and report it."""

import asyncio
from typing import Any

from camphorgate.accounting.windows import (
    Counts,
    UsageKey,
    UsageRecorder,
    author_id,
    split_author,
    window_at,
)
from camphorgate.application import Application
from camphorgate.kv.errors import KvConflict, KvError
from camphorgate.log import log_event
from camphorgate.membership.roster import MemberState
from camphorgated.ext.usage.copying import UsageReplicator
from camphorgated.ext.usage.handing import HandInWriter
from camphorgated.ext.usage.reporting import WindowReporter
from camphorgated.ext.usage.timing import UsageTiming

# Key of the window length, written by the first instance that ever starts.
WINDOW_LENGTH_KEY = "usage-window-seconds"
STOP_TIMEOUT_SECONDS = 5.0


class UsageService:
    """Counts usage and reports it to the platform."""

    def __init__(self, app: Application, timing: UsageTiming | None = None) -> None:
        """Create the service; its tasks are started by ``start``."""
        self.book: UsageRecorder | None = None
        self.replicator: UsageReplicator | None = None
        self.hand_in_writer: HandInWriter | None = None
        self.window_reporter: WindowReporter | None = None
        self.window_seconds = app.settings.timing.usage_window_seconds
        self.timing = timing or UsageTiming()
        self._app = app
        self._membership: Any = None

    async def start(self) -> None:
        """Determine the shared window length and start the tasks."""
        app = self._app
        self._membership = membership = app.service("membership")
        self.window_seconds = await self._agree_window_seconds()
        author = author_id(membership.instance_id, membership.incarnation)
        self.book = UsageRecorder(author, self.window_now())
        self.replicator = UsageReplicator(
            self.book,
            membership,
            app.settings.availability_zone,
            app.clock,
            self.timing,
        )
        membership.handle_usage(
            self.replicator.receive_batch, self.replicator.receive_ack
        )
        kv = app.service("kv")
        self.hand_in_writer = HandInWriter(
            self.book, self.replicator, kv, self.window_now, self.is_dead, self.timing
        )
        app.supervise(self.replicator.run, "usage copies")
        app.supervise(self.hand_in_writer.run, "usage parts")
        if app.has_service("duties"):
            self.window_reporter = WindowReporter(
                kv,
                app.service("duties"),
                app.clock,
                self.window_seconds,
                self.is_dead,
                self._is_live,
                self.timing,
            )
            app.supervise(self.window_reporter.run, "usage reports")

    async def stop(self) -> None:
        """Hand in all usage; if that fails, the copy holder hands it in."""
        if self.hand_in_writer is None:
            return
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self.hand_in_writer.end()
        except (KvError, TimeoutError) as error:
            log_event("usage_left_to_copy", level="WARNING", error=repr(error))

    def record(self, entry: Any) -> None:
        """Count the usage of one request.

        :param entry: ``workspace``, ``model``, ``service``, ``calls``,
            ``prompt_tokens`` and ``output_tokens``.
        """
        key = UsageKey(entry.workspace, entry.model, entry.service)
        counts = Counts(entry.calls, entry.prompt_tokens, entry.output_tokens)
        self.book.record(key, counts, self.window_now())

    async def durable(self, entry: Any) -> bool:
        """Wait, up to a time limit, until all recorded usage is copied to a peer.

        The usage then survives a crash of this process.

        :param entry: a recorded entry; the wait covers everything recorded so far.
        :returns: false if the entry is not protected, which is counted and shown to
            operators.
        """
        return await self.replicator.durable()

    def window_now(self) -> int:
        """Return the number of the current window."""
        return window_at(self._app.clock.now().timestamp(), self.window_seconds)

    def is_dead(self, author: str) -> bool:
        """Return whether an author's process has certainly ended.

        Missing heartbeats are no proof. A newer incarnation of the instance is, and so
        is the platform listing the instance as gone. If the platform is wrong, the
        ledger prevents the author's usage from being counted twice.
        """
        instance_id, incarnation = split_author(author)
        membership = self._membership
        if instance_id == membership.instance_id:
            return incarnation < membership.incarnation
        if membership.platform_state(instance_id) == "gone":
            return True
        # The roster keeps instances for a while after they are gone.
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
            "windows_waiting": self.book.pending_windows,
            "copy_holder": self.replicator.holder,
            "unprotected_requests": self.replicator.unprotected,
            "copies_held": self.replicator.store.authors(),
            "taken_over": self.hand_in_writer.taken_over,
        }
        if self.window_reporter is not None:
            lateness = self.window_reporter.lateness
            state |= {
                "windows_reported": lateness.reported,
                "windows_late": lateness.late,
                "last_late_seconds": lateness.last_seconds,
                "highest_late_seconds": lateness.highest_seconds,
                "waiting_for": list(self.window_reporter.waiting_for),
            }
        return state

    def _is_live(self, instance_id: str) -> bool:
        return any(
            member.instance_id == instance_id and member.live
            for member in self._membership.members()
        )

    async def _agree_window_seconds(self) -> int:
        """Return the window length shared by all instances.

        Instances with windows of different lengths would wait for one another's parts,
        so the first length written to KV is permanent. If KV does not answer, the
        length in the settings is used.
        """
        own = self.window_seconds
        kv = self._app.service("kv")
        try:
            await kv.create(WINDOW_LENGTH_KEY, str(own).encode())
        except KvConflict:
            return await self._read_window_seconds(kv, own)
        except KvError as error:
            log_event("usage_window_unconfirmed", level="WARNING", error=error.message)
        return own

    async def _read_window_seconds(self, kv: Any, own: int) -> int:
        try:
            entry = await kv.get(WINDOW_LENGTH_KEY)
        except KvError as error:
            log_event("usage_window_unconfirmed", level="WARNING", error=error.message)
            return own
        agreed = int(entry.value) if entry else own
        if agreed != own:
            log_event("usage_window_differs", level="WARNING", own=own, agreed=agreed)
        return agreed
