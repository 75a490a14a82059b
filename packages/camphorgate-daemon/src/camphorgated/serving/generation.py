"""The state of one request to a language model on its way."""

from camphorgate.serving.catalog import Upstream
from camphorgate.serving.placement import Prompt
from camphorgate.serving.reading_queue import Ticket
from camphorgate.serving.tries import Tries
from camphorgated.serving.events import EventStream
from camphorgated.serving.front import Job

# Urgency steps of the engines per rank of the routes; 0 to 9, 0 first.
URGENCY_PER_RANK = 3
LEAST_URGENCY = 9


class Handle:
    """A prompt that an engine has read and keeps."""

    __slots__ = ("engine", "name")

    def __init__(self, engine: Upstream, name: str) -> None:
        """Keep where it lies."""
        self.engine = engine
        self.name = name

    @property
    def source(self) -> str:
        """Return the form in which another engine takes it."""
        return f"{self.engine.address}/{self.name}"


class Generation:
    """One generation on its way: its tries, its stream and its handle."""

    __slots__ = (
        "job",
        "prompt",
        "tries",
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
    )

    def __init__(self, job: Job) -> None:
        """Start unsent."""
        self.job = job
        facts = job.facts
        self.prompt = Prompt(facts.prompt_tokens, facts.parts)
        self.tries = Tries(job.route.repeatable(), job.route.attempts)
        self.tried: set[str] = set()
        self.handle: Handle | None = None
        self.stream = EventStream()
        self.counted = False
        self.reads = 0
        self.handle_refusals = 0
        self.unsent = 0
        self.ticket: Ticket | None = None
        # When events were last passed on, and when there last was progress.
        self.passed_at: float | None = None
        self.progress_seen = 0
        self.progressed_at = 0.0
        self.urgency = min(LEAST_URGENCY, job.rank * URGENCY_PER_RANK)

    @property
    def resume_from(self) -> int | None:
        """Return the last event that the caller has."""
        if self.stream.last_id is not None:
            return self.stream.last_id
        return self.job.facts.last_event
