"""What the platform declares: routes, services, workspaces and upstreams."""

from enum import Enum

import msgspec

from camphorgate.requests.retries import Stage

__all__ = [
    "Catalog",
    "EngineSpec",
    "Kind",
    "Limits",
    "Phase",
    "Route",
    "ScalingSpec",
    "Service",
    "Stage",
    "Upstream",
    "Workspace",
]


class Kind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Phase(Enum):
    """The part of a generation that an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host and path prefix go, and how they are treated.

    ``backends`` are pairs of a service name and a weight above zero. ``attempts`` is
    the largest number of upstreams that one request may be sent to. ``priority`` 0 is
    the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    backends: tuple[tuple[str, float], ...]
    timeout_seconds: float
    target_seconds: float
    attempts: int = 1
    priority: int = 5
    public: bool = False
    generates: bool = False
    resumable: bool = False
    gap_seconds: float = 0.25

    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )


class EngineSpec(msgspec.Struct, frozen=True):
    """What is declared of the engines of a service."""

    slots: int
    cache_tokens: int
    bytes_per_token: float
    link_mbps: float
    handle_seconds: float = 5.0
    role_seconds: float = 3.0
    moves: bool = False
    backups: bool = False


class ScalingSpec(msgspec.Struct, frozen=True):
    """Bounds and prices of ordering upstreams; the bounds hold for each zone."""

    minimum: int
    maximum: int
    startup_seconds: float
    cheap_price: float | None
    price_by_zone: dict[str, float]


class Service(msgspec.Struct, frozen=True):
    """A kind of upstream."""

    name: str
    health_path: str
    connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what callers send and how long they take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Workspace(msgspec.Struct, frozen=True):
    """A customer; its priority replaces that of the route where it is declared."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One start of an upstream, as the platform lists it.

    Instances tell each other of it without names of fields, as links may be slow.
    ``revision`` is that of the entry; ``started_at`` tells two starts under one id
    apart. ``leaving`` upstreams take no new requests.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    revision: int
    phase: Phase | None = None
    cheap: bool = False
    started_at: int = 0
    leaves_seconds: float | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what identifies this start of the upstream."""
        return self.id, self.started_at


class Catalog:
    """One version of the routing configuration, indexed for requests."""

    __slots__ = (
        "version",
        "raw",
        "limits",
        "services_by_name",
        "workspaces_by_key",
        "routes_by_host",
        "keyed",
    )

    def __init__(
        self,
        version: int,
        raw: bytes,
        routes: list[Route],
        services: list[Service],
        workspaces: list[Workspace] | None,
        limits: Limits,
    ) -> None:
        """Index a configuration.

        :param raw: the configuration as it was read, to pass on to peers.
        :param workspaces: ``None`` if requests carry no keys at all.
        """
        self.version = version
        self.raw = raw
        self.limits = limits
        self.services_by_name = {service.name: service for service in services}
        self.keyed = workspaces is not None
        self.workspaces_by_key = {
            key: workspace for workspace in workspaces or () for key in workspace.keys
        }
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.routes_by_host.setdefault(route.host.lower(), []).append(route)
        for found in self.routes_by_host.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: of the request; a port is ignored.
        :param path: without the query.
        """
        name = host.partition(":")[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return the priority of a request; 0 is the most urgent."""
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return route.priority
