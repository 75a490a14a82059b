"""Builders of platform configurations, upstream entries and catalog objects."""

import json

from camphorgate.serving.catalog import EngineSpec, Phase, Upstream

HOST = "shop.example"
KEY = "key-north"
WORKSPACE = "north"


def build_platform_route(name: str, prefix: str, service: str, **changes) -> dict:
    """Return a route in the platform's format."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": "idempotent",
        "timeout-ms": 2000,
        "target-latency-ms": 100,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **changes,
    }


def build_platform_configuration(version: int = 1, **changes) -> dict:
    """Return a configuration with a service without engines and one with engines."""
    stream = {"kind": "streaming", "sticky": True, "timeout-ms": 4000}
    configuration = {
        "version": version,
        "routes": [
            build_platform_route("read", "/read/", "desk"),
            build_platform_route(
                "book", "/book/", "desk", kind="non_idempotent", **{"max-attempts": 1}
            ),
            build_platform_route("open", "/open/", "desk", public=True),
            build_platform_route("chat", "/chat/", "models", resumable=True, **stream),
            build_platform_route(
                "draft", "/draft/", "models", **stream, **{"max-attempts": 1}
            ),
        ],
        "services": [
            {"name": "desk", "health-path": "/healthz", "max-conns": 100},
            {
                "name": "models",
                "health-path": "/healthz",
                "max-conns": 100,
                "engine": {
                    "slots": 8,
                    "kv-capacity": 400000,
                    "kv-token-bytes": 18432,
                    "link-mbps": 550000.0,
                },
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 65536,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 5000,
        },
        "tenants": [{"name": WORKSPACE, "api-keys": [KEY]}],
    }
    return {**configuration, **changes}


def build_platform_entry(address: str, **changes) -> bytes:
    """Return an upstream's entry in the platform's format."""
    entry = {
        "service": "desk",
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold-left-ms": 0,
        "sequence": 1,
        "born": 1000,
        **changes,
    }
    return json.dumps(entry).encode()


def build_listed_upstream(upstream_id: str = "u1", **changes) -> Upstream:
    """Return a listed upstream."""
    fields = {
        "service": "models",
        "address": "127.0.0.1:9000",
        "zone": "zone-a",
        "slots": 8,
        "leaving": False,
        "revision": 1,
        **changes,
    }
    return Upstream(id=upstream_id, **fields)


def build_engine(upstream_id: str, phase: Phase, **changes) -> Upstream:
    """Return a listed engine with the given phase."""
    return build_listed_upstream(upstream_id, phase=phase, **changes)


def build_engine_spec(**changes) -> EngineSpec:
    """Return the declared properties of a service's engines."""
    fields = {
        "slots": 8,
        "cache_tokens": 400000,
        "bytes_per_token": 18432,
        "link_mbps": 550000,
        **changes,
    }
    return EngineSpec(**fields)
