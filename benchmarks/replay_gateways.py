"""Simulated gateways: one routes on arrival, the others queue in fair order."""

import time

from benchmarks.replay import Engine, Job, Replay
from camphorgate.requests.admission import PoolQueue, QueueLimits
from camphorgate.requests.dispatch_window import DispatchWindow
from camphorgate.requests.fairness import FairOrder, weighted_service
from camphorgate.requests.priority import priority_for_deficit
from camphorgate.requests.request_state import RoutingRequest, UpstreamState
from camphorgate.requests.routing import POLICIES

# Rates that the manifest declares; the actual rates of the simulated engines differ.
PREFILL_TOKENS_PER_SECOND = 20000.0
DECODE_TOKENS_PER_SECOND = 600.0
INSTANCES = 7
QUEUE_CHECK_INTERVAL_SECONDS = 0.05
EXCHANGE_INTERVAL_SECONDS = 0.5


class Gateway:
    """Routes each request on arrival, with its own views of the engines."""

    def __init__(self, number: int, policy: str, engines: list[Engine]) -> None:
        """Create a gateway that has no load report yet."""
        self.number = number
        self.views_by_id = {
            engine.view.id: UpstreamState(
                id=engine.view.id,
                pool="models",
                zone=engine.view.zone,
                slots=engine.view.slots,
                prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
                decode_tokens_per_second=DECODE_TOKENS_PER_SECOND,
            )
            for engine in engines
        }
        self.views = list(self.views_by_id.values())
        self.policy = POLICIES.get(policy)(f"gateway-{number}")
        self.choose_seconds = 0.0
        self.choices = 0

    def start(self, replay: Replay, peers: list) -> None:
        """Schedule repeated work; this gateway has none."""

    def choose(self, request: RoutingRequest, now: float):
        """Return the choice of the policy and add up the time that it takes."""
        started_at = time.perf_counter()
        choice = self.policy.choose(self.views, request, now)
        self.choose_seconds += time.perf_counter() - started_at
        self.choices += 1
        return choice

    def receive_request(self, job: Job, replay: Replay) -> None:
        """Route a job immediately."""
        replay.dispatch(job, self.choose(job.request, replay.now).upstream)

    def on_first_token(self, job: Job, replay: Replay) -> None:
        """Handle the first token of a job."""

    def on_request_end(self, job: Job, replay: Replay) -> None:
        """Handle the end of a job."""


class QueueGateway(Gateway):
    """Queues requests in fair order and dispatches them while the window allows."""

    sends_priority = False

    def __init__(self, number: int, policy: str, engines: list[Engine]) -> None:
        """Create a gateway with an empty queue."""
        super().__init__(number, policy, engines)
        self.fair = FairOrder()
        self.queue = PoolQueue(QueueLimits(), self.fair)
        self._jobs_by_id: dict[str, Job] = {}
        self.window = DispatchWindow()
        slots = sum(view.slots for view in self.views)
        self.window.set_minimum(
            PREFILL_TOKENS_PER_SECOND * len(engines), slots, INSTANCES
        )

    def start(self, replay: Replay, peers: list) -> None:
        """Schedule queue expiry and the exchange of served work with other gateways."""
        replay.schedule_repeating(
            QUEUE_CHECK_INTERVAL_SECONDS, lambda: self._check_queue(replay)
        )
        replay.schedule_repeating(
            EXCHANGE_INTERVAL_SECONDS, lambda: self._exchange_service(replay, peers)
        )

    def receive_request(self, job: Job, replay: Replay) -> None:
        """Queue a job, or refuse it if the queue has no room."""
        request_id = str(id(job))
        service = weighted_service(job.request.prompt_tokens, job.request.output_tokens)
        if self.queue.try_enqueue(request_id, job.request, service, replay.now):
            job.refused = True
            return
        self._jobs_by_id[request_id] = job
        self._dispatch_queued(replay)

    def on_first_token(self, job: Job, replay: Replay) -> None:
        """Adapt the window and dispatch jobs into the capacity that a prompt freed."""
        tokens = job.dispatch.prefill_tokens
        queue_seconds = (
            replay.now - job.dispatch.dispatched_at - tokens / PREFILL_TOKENS_PER_SECOND
        )
        self.window.record_first_token(queue_seconds, tokens, replay.now)
        self._dispatch_queued(replay)

    def on_request_end(self, job: Job, replay: Replay) -> None:
        """Dispatch jobs into the capacity that a finished job freed."""
        self.fair.finish(job.request.workspace, 0.0, replay.now)
        self._dispatch_queued(replay)

    def _check_queue(self, replay: Replay) -> None:
        for waiting in self.queue.expire(replay.now):
            self._jobs_by_id.pop(waiting.request_id).refused = True
        self._dispatch_queued(replay)

    def _exchange_service(self, replay: Replay, peers: list) -> None:
        deltas = self.fair.take_deltas()
        for peer in peers:
            if peer is not self:
                peer.fair.merge_deltas(deltas, replay.now)

    def _dispatch_queued(self, replay: Replay) -> None:
        def may_start(request: RoutingRequest) -> bool:
            return self.window.allows(
                sum(view.own_prefill_tokens for view in self.views),
                sum(view.own_requests for view in self.views),
            )

        while waiting := self.queue.start_next(replay.now, may_start):
            job = self._jobs_by_id.pop(waiting.request_id)
            if self.sends_priority:
                job.priority = priority_for_deficit(
                    self.fair.service_deficit(job.request.workspace)
                )
            replay.dispatch(job, self.choose(job.request, replay.now).upstream)


class PriorityGateway(QueueGateway):
    """Queues requests and sends their priority to the engines."""

    sends_priority = True
