"""Builders of manifests and upstreams for tests."""

from camphorgate.manifest import (
    AvailabilityZone,
    Manifest,
    Model,
    Pool,
    Service,
    Upstream,
    Workspace,
    key_digest,
)

KEYS_BY_WORKSPACE = {"north": "key-north", "south": "key-south"}


def build_upstream(upstream_id: str = "engine-1", **changes) -> Upstream:
    """Return an upstream in the zone ``zone-a``."""
    fields = {"address": "127.0.0.1:9001", "availability_zone": "zone-a", **changes}
    return Upstream(id=upstream_id, **fields)


def build_manifest(**changes) -> Manifest:
    """Return a manifest with two workspaces, a model pool and a booking service."""
    fields = {
        "deployment": "test",
        "availability_zones": (
            AvailabilityZone("zone-a", "region-1"),
            AvailabilityZone("zone-b", "region-1"),
        ),
        "workspaces": tuple(
            Workspace(name, key_digests=(key_digest(key),))
            for name, key in KEYS_BY_WORKSPACE.items()
        ),
        "pools": (
            Pool("models", "engines", upstreams=(build_upstream(),)),
            Pool(
                "desk",
                "service",
                upstreams=(build_upstream("desk-1", address="127.0.0.1:9101"),),
            ),
        ),
        "models": (Model("assistant", "models"),),
        "services": (Service("booking", "/booking", "desk"),),
    }
    return Manifest(**{**fields, **changes})
