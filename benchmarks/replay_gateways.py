"""Gateways of the replay: one routes at once, one queues in fair order."""

import time

from benchmarks.replay import Engine, Job, Replay
from camphorgate.requests.admission import PoolQueue, QueueBounds
from camphorgate.requests.fairness import FairOrder, service_of
from camphorgate.requests.pacing import DispatchWindow
from camphorgate.requests.priority import priority_of
from camphorgate.requests.routing import POLICIES
from camphorgate.requests.views import RequestView, UpstreamView

# What the manifest declares; the engines of the replay differ from it.
PREFILL_RATE = 20000.0
DECODE_RATE = 600.0
INSTANCES = 7
TICK_SECONDS = 0.05
BEAT_SECONDS = 0.5


class Gateway:
    """Routes each request on arrival, with its own views of the engines."""

    def __init__(self, number: int, policy: str, engines: list[Engine]) -> None:
        """Start without knowledge of the engines' load."""
        self.number = number
        self.views_by_id = {
            engine.view.id: UpstreamView(
                id=engine.view.id,
                pool="models",
                zone=engine.view.zone,
                slots=engine.view.slots,
                prefill_tokens_per_second=PREFILL_RATE,
                decode_tokens_per_second=DECODE_RATE,
            )
            for engine in engines
        }
        self.views = list(self.views_by_id.values())
        self.policy = POLICIES.get(policy)(f"gateway-{number}")
        self.choose_seconds = 0.0
        self.choices = 0

    def start(self, replay: Replay, peers: list) -> None:
        """Prepare for a run."""

    def choose(self, request: RequestView, now: float):
        """Return the policy's choice and measure the time that it takes."""
        begun = time.perf_counter()
        choice = self.policy.choose(self.views, request, now)
        self.choose_seconds += time.perf_counter() - begun
        self.choices += 1
        return choice

    def arrive(self, job: Job, replay: Replay) -> None:
        """Route a job at once."""
        replay.dispatch(job, self.choose(job.request, replay.now).upstream)

    def first_token(self, job: Job, replay: Replay) -> None:
        """Note a first token."""

    def release(self, job: Job, replay: Replay) -> None:
        """Note that a job ended."""


class QueueGateway(Gateway):
    """Queues requests in fair order and sends them when an engine has room."""

    sends_priority = False

    def __init__(self, number: int, policy: str, engines: list[Engine]) -> None:
        """Start with an empty queue."""
        super().__init__(number, policy, engines)
        self.fair = FairOrder()
        self.queue = PoolQueue(QueueBounds(), self.fair)
        self._jobs_by_id: dict[str, Job] = {}
        self.window = DispatchWindow()
        slots = sum(view.slots for view in self.views)
        self.window.set_share(PREFILL_RATE * len(engines), slots, INSTANCES)

    def start(self, replay: Replay, peers: list) -> None:
        """Start the ticks and the exchange of service with the other gateways."""
        replay.every(TICK_SECONDS, lambda: self._tick(replay))
        replay.every(BEAT_SECONDS, lambda: self._beat(replay, peers))

    def arrive(self, job: Job, replay: Replay) -> None:
        """Queue a job, or refuse it."""
        request_id = str(id(job))
        service = service_of(job.request.prompt_tokens, job.request.output_tokens)
        if self.queue.offer(request_id, job.request, service, replay.now):
            job.refused = True
            return
        self._jobs_by_id[request_id] = job
        self._pump(replay)

    def first_token(self, job: Job, replay: Replay) -> None:
        """Adapt the window, and use the room that a finished prompt left."""
        tokens = job.dispatch.prefill_tokens
        wait = replay.now - job.dispatch.begun_at - tokens / PREFILL_RATE
        self.window.note_first_token(wait, tokens, replay.now)
        self._pump(replay)

    def release(self, job: Job, replay: Replay) -> None:
        """Use the room that a finished job left."""
        self.fair.finish(job.request.workspace, 0.0, replay.now)
        self._pump(replay)

    def _tick(self, replay: Replay) -> None:
        for waiting in self.queue.expire(replay.now):
            self._jobs_by_id.pop(waiting.request_id).refused = True
        self._pump(replay)

    def _beat(self, replay: Replay, peers: list) -> None:
        deltas = self.fair.take_deltas()
        for peer in peers:
            if peer is not self:
                peer.fair.merge(deltas, replay.now)

    def _pump(self, replay: Replay) -> None:
        def startable(request: RequestView) -> bool:
            return self.window.allows(
                sum(view.own_prefill_tokens for view in self.views),
                sum(view.own_requests for view in self.views),
            )

        while waiting := self.queue.take(replay.now, startable):
            job = self._jobs_by_id.pop(waiting.request_id)
            if self.sends_priority:
                job.priority = priority_of(self.fair.owed(job.request.workspace))
            replay.dispatch(job, self.choose(job.request, replay.now).upstream)


class PriorityGateway(QueueGateway):
    """Queues requests and tells the engines their priority."""

    sends_priority = True
