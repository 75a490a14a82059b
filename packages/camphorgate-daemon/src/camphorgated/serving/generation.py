"""State of a generation request in progress."""

from camphorgate.serving.catalog import Upstream
from camphorgate.serving.placement import Prompt
from camphorgate.serving.prefill_queue import QueuedPrompt
from camphorgate.serving.send_attempts import SendAttempts
from camphorgated.serving.client_connection import ClientConnection
from camphorgated.serving.events import EventStream
from camphorgated.serving.front import RequestContext
from camphorgated.serving.quarantine import part_keys

# Engine urgency steps per route rank; urgencies range from 0, the most urgent, to 9.
URGENCY_PER_RANK = 3
LOWEST_URGENCY = 9


class Handle:
    """Reference to a prefilled prompt that an engine holds."""

    __slots__ = ("engine", "name")

    def __init__(self, engine: Upstream, name: str) -> None:
        """Initialize with the engine that holds the prompt."""
        self.engine = engine
        self.name = name

    @property
    def source(self) -> str:
        """Return the cache source that is sent to another engine."""
        return f"{self.engine.address}/{self.name}"


class Generation:
    """A generation in progress: its attempts, its stream and its prompt handle."""

    __slots__ = (
        "context",
        "prompt",
        "attempts",
        "tried",
        "handle",
        "stream",
        "counted",
        "reads",
        "handle_refusals",
        "unsent",
        "urgency",
        "ticket",
        "passed_at",
        "progress_seen",
        "progressed_at",
        "carried",
        "part_keys",
        "answering_since",
        "sent_at",
        "upstream_ends",
        "is_trial",
    )

    def __init__(self, context: RequestContext) -> None:
        """Initialize before the first attempt."""
        self.context = context
        facts = context.facts
        self.prompt = Prompt(facts.prompt_tokens, facts.parts)
        self.attempts = SendAttempts(context.route.repeatable(), context.route.attempts)
        self.tried: set[str] = set()
        self.handle: Handle | None = None
        self.stream = EventStream()
        self.counted = False
        self.reads = 0
        self.handle_refusals = 0
        self.unsent = 0
        self.ticket: QueuedPrompt | None = None
        # When events were last forwarded, and when the stream last made progress.
        self.passed_at: float | None = None
        self.progress_seen = 0
        self.progressed_at = 0.0
        # Connections that carried the request or its prefill call.
        self.carried: set[ClientConnection] = set()
        self.part_keys = part_keys(context)
        # When the present engine began to answer.
        self.answering_since: float | None = None
        # When the request was last sent, and how many engines ended under it.
        self.sent_at = 0.0
        self.upstream_ends = 0
        # Whether this request tests whether a blocked part still ends engines.
        self.is_trial = False
        self.urgency = min(LOWEST_URGENCY, context.rank * URGENCY_PER_RANK)

    @property
    def patient(self) -> bool:
        """Return whether the request waits for permits until its deadline.

        Refusing it would waste what engines have done for it.
        """
        begun = self.context.caller.begun or self.attempts.may_have_run
        return begun or self.handle is not None

    @property
    def resume_from(self) -> int | None:
        """Return the id of the last event that the caller received."""
        if self.stream.last_id is not None:
            return self.stream.last_id
        return self.context.facts.last_event
