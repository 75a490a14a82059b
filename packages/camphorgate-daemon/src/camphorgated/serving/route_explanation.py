"""Explains where a request would go now, without sending or reserving anything.

The candidates and the decision come from the functions that route requests:
``Placement.compare_for_*``, ``Generations.choose_for`` and ``Upstreams``. A request
that waits, for a permit or for its turn, is described as it would begin.
"""

from camphorgate.application import Application
from camphorgate.serving.catalog import Catalog, Kind, Phase, Upstream, Workspace
from camphorgate.serving.placement import Candidate, Choice
from camphorgate.serving.prefill_queue import MIN_LONG_PROMPT_MS
from camphorgated.serving.calls import RETRY_AFTER_TARGETS
from camphorgated.serving.front import UNCONFIGURED_RETRY_SECONDS, RequestContext
from camphorgated.serving.generation import Generation
from camphorgated.serving.generations import retry_after_for_wait
from camphorgated.serving.http1 import Headers
from camphorgated.serving.quarantine import BLOCKED, call_keys
from camphorgated.serving.server_connection import Request


class _NoCaller:
    """Holds a request that nobody sent; no response to it has begun."""

    __slots__ = ("request", "begun")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.begun = False


class RouteExplainer:
    """Explains routing decisions of this instance."""

    __slots__ = ("_app", "_directory", "_platform", "_quarantine", "_upstreams")

    def __init__(self, app: Application) -> None:
        """Use the shared state of the upstreams."""
        self._app = app
        self._directory = app.service("directory")
        self._platform = app.service("dialect")
        self._quarantine = app.service("quarantine")
        self._upstreams = app.service("upstreams")

    def explain(
        self, target: str, headers: Headers, workspace: str | None = None
    ) -> dict:
        """Return where a request would go, or with which status it would be refused.

        :param target: path and query.
        :param headers: of the request, with lower-case names.
        :param workspace: name of the workspace that sends it, in place of its key.
        """
        catalog: Catalog | None = self._directory.catalog
        if catalog is None:
            return _refusal(503, "configuration_unknown", UNCONFIGURED_RETRY_SECONDS)
        request = Request("POST", target.encode("latin-1"), headers, b"", False)
        request.read_at = self._app.clock.monotonic()
        facts = self._platform.read_request(request).with_bounded_names()
        route = catalog.match(facts.host, target.partition("?")[0])
        if route is None:
            return _refusal(404, "route_unknown")
        found = None
        if catalog.keyed and not route.public:
            found = _find_workspace(catalog, facts.key, workspace)
            if found is None:
                return _refusal(401, "key_unknown")
        contexts = [
            RequestContext(
                _NoCaller(request),
                facts,
                route,
                service,
                found,
                catalog.rank(route, found),
                catalog.version,
            )
            for service, _ in route.backends
        ]
        return {
            "route": route.name,
            "workspace": found.name if found else None,
            "rank": catalog.rank(route, found),
            "version": catalog.version,
            "backends": [
                {"weight": weight, **self._explain_backend(context)}
                for context, (_, weight) in zip(contexts, route.backends, strict=True)
            ],
        }

    def _explain_backend(self, context: RequestContext) -> dict:
        now = self._app.clock.monotonic()
        generates = context.route.generates and context.route.kind is Kind.STREAM
        usable = self._upstreams.candidates_for(context, set())
        if generates:
            candidates, decision = self._explain_generation(context, usable, now)
        else:
            candidates, decision = self._explain_call(context, usable, now)
        budget = self._upstreams.budget(context.service)
        return {
            "service": context.service,
            "decision": decision,
            "candidates": candidates,
            "excluded": self._excluded(context.service, usable),
            "retry_budget": budget.dump(now),
        }

    def _explain_generation(
        self, context: RequestContext, usable: list[Upstream], now: float
    ) -> tuple[list[dict], dict]:
        generation = Generation(context)
        generations = self._app.service("generations")
        service = self._upstreams.service(context.service)
        if service is None or service.engine is None:
            return [], self._refuse_without_upstream(context, "no_upstream")
        placement, prompt = self._upstreams.placement, generation.prompt
        candidates = []
        for prefills in (True, False):
            group = [
                item for item in usable if (item.phase is Phase.PREFILL) is prefills
            ]
            compared = placement.compare_for_prefill(group, prompt, now)
            candidates += [self._describe(item, now) for item in compared]
        block = self._quarantine.find_block(generation.part_keys)
        if block is not None:
            seconds = self._quarantine.retry_after_seconds(block)
            return candidates, _refusal(503, BLOCKED, seconds)
        reader, answerer = generations.choose_for(generation, service.engine, now)
        first = reader or answerer
        if first is None:
            reason = self._upstreams.no_upstream_reason(context.service)
            return candidates, self._refuse_without_upstream(context, reason)
        wait_seconds = first.wait_ms / 1000
        if wait_seconds > context.seconds_left(now):
            seconds = retry_after_for_wait(wait_seconds, context.route)
            return candidates, _refusal(503, "deadline_unreachable", seconds)
        action = "answer" if reader is None else "prefill"
        decision = _send(action, first, now)
        if reader is not None and reader.prefill_ms > MIN_LONG_PROMPT_MS:
            decision["prompts_waiting"] = generations.waiting
        return candidates, decision

    def _explain_call(
        self, context: RequestContext, usable: list[Upstream], now: float
    ) -> tuple[list[dict], dict]:
        placement = self._upstreams.placement
        compared = placement.compare_for_call(usable, now)
        candidates = [self._describe(item, now) for item in compared]
        block = self._quarantine.find_block(call_keys(context))
        if block is not None:
            seconds = self._quarantine.retry_after_seconds(block)
            return candidates, _refusal(503, BLOCKED, seconds)
        choice = placement.choose_for_call(usable, now)
        if choice is None:
            reason = self._upstreams.no_upstream_reason(context.service)
            return candidates, self._refuse_without_upstream(context, reason)
        return candidates, _send("answer", choice, now)

    def _refuse_without_upstream(self, context: RequestContext, reason: str) -> dict:
        """Return a refusal; if upstreams pause, the request may wait for them first."""
        if context.route.generates and context.route.kind is Kind.STREAM:
            seconds = retry_after_for_wait(0.0, context.route)
        else:
            seconds = context.route.target_seconds * RETRY_AFTER_TARGETS
        seconds = self._upstreams.retry_after_seconds(context, reason, seconds)
        decision = _refusal(503, reason, seconds)
        pause_seconds = self._upstreams.pause_seconds(context.service)
        if pause_seconds is not None:
            decision["pause_seconds"] = pause_seconds
        return decision

    def _describe(self, candidate: Candidate, now: float) -> dict:
        choice, upstream = candidate.choice, candidate.choice.upstream
        load = self._upstreams.loads.total(upstream.id, now)
        health = self._upstreams.health.of(upstream.incarnation)
        return {
            "upstream": upstream.id,
            "zone": upstream.zone,
            "phase": upstream.phase.value if upstream.phase else None,
            "cost_ms": candidate.cost_ms,
            "wait_ms": choice.wait_ms,
            "wait_terms_ms": candidate.wait_terms,
            "other_terms_ms": candidate.other_terms,
            "uncached_tokens": choice.uncached,
            "requests": load.requests,
            "prefill_tokens": load.prefill_tokens,
            "slots": upstream.slots,
            "failure_rate": health.failure_rate,
            "avoided_seconds": max(0.0, health.avoid_until - now),
            "limited": self._upstreams.limited.is_limited(upstream),
        }

    def _excluded(self, service: str, usable: list[Upstream]) -> list[dict]:
        """Return the listed upstreams of a service that are no candidates, and why."""
        now = self._app.clock.monotonic()
        used = {item.id for item in usable}
        changing = self._app.service("gossip").engines_changing_phase()
        excluded = []
        for item in self._directory.table.by_id.values():
            if item.service != service or item.id in used:
                continue
            if not self._directory.table.accepts_requests(item):
                reason = "leaving" if item.leaving else "accepts_no_requests"
            elif self._upstreams.pauses.paused(item.incarnation, now):
                reason = "paused"
            elif item.id in changing:
                reason = "changes_phase"
            else:
                reason = "no_permit"
            excluded.append({"upstream": item.id, "reason": reason})
        return excluded


def _find_workspace(
    catalog: Catalog, key: str | None, name: str | None
) -> Workspace | None:
    if name is None:
        return catalog.workspaces_by_key.get(key or "")
    workspaces = catalog.workspaces_by_key.values()
    return next((item for item in workspaces if item.name == name), None)


def _send(action: str, choice: Choice, now: float) -> dict:
    return {
        "action": action,
        "upstream": choice.upstream.id,
        "wait_ms": choice.wait_ms,
        # All candidates are avoided; the request is held for a part of its time.
        "avoided_seconds": max(0.0, choice.avoid_until - now),
    }


def _refusal(status: int, reason: str, retry_after: float | None = None) -> dict:
    refusal = {"action": "refuse", "status": status, "reason": reason}
    if retry_after is not None:
        refusal["retry_after_seconds"] = retry_after
    return refusal
