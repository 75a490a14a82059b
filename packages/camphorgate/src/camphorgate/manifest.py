"""Typed data model of the manifest, the configuration that operators declare.

All data classes are :class:`msgspec.Struct`, plain classes with slots. The module
:mod:`camphorgate.manifest_validation` parses and validates manifests.
"""

import hashlib
from typing import Literal

import msgspec

UpstreamKind = Literal["ordinary", "cheap"]
EngineRole = Literal["prefill", "decode", "both"]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Usage limits of a workspace; zero means no limit."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    concurrent_requests: int = 0


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant with its fair-share weight, API keys and limits.

    ``key_digests`` holds SHA-256 digests of API keys, 64 hexadecimal digits each.
    """

    name: str
    weight: float = 1.0
    key_digests: tuple[str, ...] = ()
    limits: Limits = Limits()


class CallRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declares whether calls of a service are idempotent and may be retried.

    ``path`` is a path prefix below the route of the service.
    """

    methods: tuple[str, ...]
    path: str = "/"
    idempotent: bool = False


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request-response service under a route.

    The first rule that matches a call decides whether it is idempotent. Without a
    matching rule, GET, HEAD and OPTIONS are idempotent and all other methods are not.
    """

    name: str
    route: str
    pool: str
    access: Literal["keyed", "open"] = "keyed"
    calls: tuple[CallRule, ...] = ()
    deadline_seconds: float = 10.0


class Adapter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fine-tuned adapter of a model, served under its own model name."""

    name: str
    version: str = "1"
    workspaces: tuple[str, ...] = ()


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that the engines of a pool serve."""

    name: str
    pool: str
    version: str = "1"
    adapters: tuple[Adapter, ...] = ()
    deadline_seconds: float = 60.0
    context_tokens: int = 131072


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A back end that the manifest declares.

    ``leaving`` drains it: it gets no new requests and is released when it is idle.
    """

    id: str
    address: str
    availability_zone: str
    kind: UpstreamKind = "ordinary"
    role: EngineRole = "both"
    slots: int = 8
    leaving: bool = False


class Capacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on the number of upstreams of a pool, and on the share of cheap ones.

    ``cheap_share`` is a fraction of the upstreams of the pool, 0 to 1. Costs are per
    hour.
    """

    minimum: int = 1
    maximum: int = 16
    cheap_share: float = 0.0
    ordinary_cost: float = 1.0
    cheap_cost: float = 0.35
    provisioning_seconds: float = 180.0


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of interchangeable upstreams.

    ``honours_fencing`` states whether its engines reject outdated fencing tokens. Rates
    are tokens per second of one engine.
    """

    name: str
    kind: Literal["engines", "service"]
    honours_fencing: bool = False
    echoes_request_id: bool = True
    upstreams: tuple[Upstream, ...] = ()
    capacity: Capacity = Capacity()
    routing: str = "expected_latency"
    prefill_tokens_per_second: float = 20000.0
    decode_tokens_per_second: float = 600.0
    role_change_seconds: float = 8.0


class AvailabilityZone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An availability zone and its region."""

    name: str
    region: str


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the optimisation goals; only their ratios matter."""

    goodput: float = 1.0
    worst_workspace: float = 1.0
    cost: float = 1.0
    cheap_capacity: float = 0.0


class WeightStore(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate limit of the store of model weights, for the whole system."""

    loads_per_minute: float = 6.0


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete configuration that operators declare."""

    deployment: str
    availability_zones: tuple[AvailabilityZone, ...]
    pools: tuple[Pool, ...]
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    objective: Objective = Objective()
    weight_store: WeightStore = WeightStore()


class ManifestIndex:
    """A manifest with lookup tables for requests, built once per version."""

    __slots__ = (
        "manifest",
        "version",
        "workspaces_by_name",
        "workspaces_by_key_digest",
        "pools_by_name",
        "models_by_name",
        "services_by_route",
        "_routes_longest_first",
    )

    def __init__(self, manifest: Manifest, version: int) -> None:
        """Index a validated manifest.

        :param version: version under which the manifest is in force.
        """
        self.manifest = manifest
        self.version = version
        self.workspaces_by_name = {item.name: item for item in manifest.workspaces}
        self.workspaces_by_key_digest = {
            digest: item for item in manifest.workspaces for digest in item.key_digests
        }
        self.pools_by_name = {item.name: item for item in manifest.pools}
        self.models_by_name: dict[str, tuple[Model, Adapter | None]] = {}
        for model in manifest.models:
            self.models_by_name[model.name] = (model, None)
            for adapter in model.adapters:
                self.models_by_name[adapter.name] = (model, adapter)
        self.services_by_route = {item.route: item for item in manifest.services}
        # The most specific route has to match first.
        self._routes_longest_first = sorted(
            self.services_by_route, key=len, reverse=True
        )

    def find_workspace_by_key(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to.

        :param key: the key as the caller sent it; it is never stored or logged.
        """
        return self.workspaces_by_key_digest.get(key_digest(key))

    def find_service_by_path(self, path: str) -> Service | None:
        """Return the service whose route is the longest prefix of a path."""
        for route in self._routes_longest_first:
            if path == route or path.startswith(route.rstrip("/") + "/"):
                return self.services_by_route[route]
        return None

    def is_idempotent(self, service: Service, method: str, path: str) -> bool:
        """Return whether a call of a service is idempotent and may be retried.

        :param path: full path, including the route of the service.
        """
        relative_path = path[len(service.route.rstrip("/")) :] or "/"
        for rule in service.calls:
            if method in rule.methods and relative_path.startswith(rule.path):
                return rule.idempotent
        return method in _SAFE_METHODS


_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def key_digest(key: str) -> str:
    """Return the digest of an API key as stored in a manifest: SHA-256 in hex."""
    return hashlib.sha256(key.encode()).hexdigest()
