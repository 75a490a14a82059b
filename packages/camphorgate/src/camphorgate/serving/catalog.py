"""Configuration declared by the platform: routes, services, workspaces, upstreams."""

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
    """How a request may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Phase(Enum):
    """The phase of a generation that an engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"


class Route(msgspec.Struct, frozen=True):
    """Destination and handling of the requests to a host and path prefix.

    ``backends`` holds pairs of a service name and a positive weight. ``attempts`` is
    the maximum number of upstreams that one request may be sent to. ``priority`` 0 is
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
        """Return whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )


class EngineSpec(msgspec.Struct, frozen=True):
    """Declared properties of the engines of a service."""

    slots: int
    cache_tokens: int
    bytes_per_token: float
    link_mbps: float
    handle_seconds: float = 5.0
    role_seconds: float = 3.0
    moves: bool = False
    backups: bool = False

    def can_hold(self, prompt_tokens: int) -> bool:
        """Return whether an idle engine has memory for a prompt."""
        return prompt_tokens <= self.cache_tokens


class ScalingSpec(msgspec.Struct, frozen=True):
    """Scaling bounds and prices of upstreams; the bounds apply to each zone."""

    minimum: int
    maximum: int
    startup_seconds: float
    cheap_price: float | None
    price_by_zone: dict[str, float]


class Service(msgspec.Struct, frozen=True):
    """A group of upstreams that serve the same requests."""

    name: str
    health_path: str
    connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Workspace(msgspec.Struct, frozen=True):
    """A customer; its priority, if declared, overrides that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an upstream, as listed by the platform.

    Instances exchange entries as arrays without field names, as links may be slow.
    ``revision`` is the revision of the entry; ``started_at`` distinguishes incarnations
    with the same id. ``leaving`` upstreams take no new requests.
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
        """Return the key that identifies this incarnation of the upstream."""
        return self.id, self.started_at


class _RouteTable:
    """The routes of a host, found by the length of their prefixes.

    There are few lengths, so that the time of a lookup does not follow from the number
    of routes.
    """

    __slots__ = ("_route_by_prefix", "_lengths")

    def __init__(self) -> None:
        self._route_by_prefix: dict[str, Route] = {}
        # In descending order.
        self._lengths: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route; of two with the same prefix, the first one counts."""
        self._route_by_prefix.setdefault(route.prefix, route)
        if len(route.prefix) not in self._lengths:
            self._lengths.append(len(route.prefix))
            self._lengths.sort(reverse=True)

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for length in self._lengths:
            route = self._route_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class Catalog:
    """One version of the routing configuration, indexed for request lookup."""

    __slots__ = (
        "version",
        "raw",
        "limits",
        "services_by_name",
        "workspaces_by_key",
        "keyed",
        "_tables_by_host",
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

        :param raw: the configuration as it was read, for forwarding to peers.
        :param workspaces: ``None`` if requests carry no keys.
        """
        self.version = version
        self.raw = raw
        self.limits = limits
        self.services_by_name = {service.name: service for service in services}
        self.keyed = workspaces is not None
        self.workspaces_by_key = {
            key: workspace for workspace in workspaces or () for key in workspace.keys
        }
        self._tables_by_host: dict[str, _RouteTable] = {}
        for route in routes:
            table = self._tables_by_host.setdefault(route.host.lower(), _RouteTable())
            table.add(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        :param host: host of the request; a port is ignored.
        :param path: path without the query string.
        """
        name = host.partition(":")[0].lower()
        table = self._tables_by_host.get(name)
        return None if table is None else table.match(path)

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return the priority of a request; 0 is the most urgent."""
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return route.priority
