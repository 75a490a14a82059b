"""Decides which models, adapters and versions are loaded on which engines.

All pools load from one weight store. Its rate limit holds across the system because
the pools take turns (:mod:`camphorgate.fleet.turns`) and send one load per turn.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from camphorgate.fleet.pool_state import Engine
from camphorgate.fleet.turns import current_turn, is_turn_of, turn_length_seconds
from camphorgate.manifest import Manifest, Model

# An old version is unloaded only if its successor has at least this many copies, or one
# on every engine if the pool has fewer engines.
MIN_COPIES = 2


class Load(msgspec.Struct, frozen=True):
    """An order to load or unload an artefact, such as ``assistant@2``."""

    engine_id: str
    kind: str  # "load_model" or "unload_model"
    model: str
    reason: str


class PlacementState:
    """The last turn in which a load was sent, so that no turn is used twice."""

    __slots__ = ("last_turn",)

    def __init__(self) -> None:
        """Create a memory without a used turn."""
        self.last_turn: int | None = None


def current_artifacts(models: Iterable[Model]) -> list[str]:
    """Return every artefact to be loaded, each model before its adapters."""
    wanted = []
    for model in models:
        wanted.append(f"{model.name}@{model.version}")
        wanted += [f"{item.name}@{item.version}" for item in model.adapters]
    return wanted


def served_names_by_engine(
    wanted: Iterable[str], loaded_by_engine: Mapping[str, Sequence[str]]
) -> dict[str, frozenset[str]]:
    """Return the models and adapters for which each engine may receive requests.

    Engines with the current version of an artefact serve its name. If there are none,
    those with an older version do. If it is loaded nowhere, every engine may receive
    requests, and loads the artefact or refuses. An engine that reports no loaded
    artefacts is always included, because it may serve models it was started with.

    :param wanted: current artefacts, see :func:`current_artifacts`.
    :param loaded_by_engine: loaded artefacts of each engine of the pool.
    """
    served: dict[str, set[str]] = {engine: set() for engine in loaded_by_engine}
    for artefact in wanted:
        name = artefact.partition("@")[0]
        current = {e for e, loaded in loaded_by_engine.items() if artefact in loaded}
        older = {
            engine
            for engine, loaded in loaded_by_engine.items()
            if any(item.partition("@")[0] == name for item in loaded)
        }
        unreported = {
            engine for engine, loaded in loaded_by_engine.items() if not loaded
        }
        for engine in (current or older or set(loaded_by_engine)) | unreported:
            served[engine].add(name)
    return {engine: frozenset(names) for engine, names in served.items()}


def plan_placement(
    manifest: Manifest,
    pool: str,
    engines: tuple[Engine, ...],
    memory: PlacementState,
    now: float,
) -> list[Load]:
    """Return at most one load, and all unloads that are currently safe.

    :param now: seconds since the Unix epoch.
    """
    wanted = current_artifacts(item for item in manifest.models if item.pool == pool)
    eligible = [
        item for item in engines if item.phase == "serving" and not item.has_open_order
    ]
    unloads = _unloads(wanted, engines, eligible)
    load = _next_load(wanted, engines, eligible)
    if load is None or not _claim_turn(manifest, pool, memory, now):
        return unloads
    return [load, *(item for item in unloads if item.engine_id != load.engine_id)]


def _claim_turn(
    manifest: Manifest, pool: str, memory: PlacementState, now: float
) -> bool:
    limit = manifest.weight_store.loads_per_minute
    if limit <= 0:
        return False
    names = [item.name for item in manifest.pools if item.kind == "engines"]
    length = turn_length_seconds(limit)
    turn = current_turn(now, length)
    if turn == memory.last_turn or not is_turn_of(now, length, pool, names):
        return False
    memory.last_turn = turn
    return True


def _copies(artefact: str, engines: Iterable[Engine]) -> int:
    return sum(
        artefact in engine.loaded_artifacts for engine in engines if engine.present
    )


def _next_load(
    wanted: list[str], engines: tuple[Engine, ...], eligible: list[Engine]
) -> Load | None:
    """Return the load of the artefact with the fewest copies."""
    best = None
    for position, artefact in enumerate(wanted):
        without = [
            engine for engine in eligible if artefact not in engine.loaded_artifacts
        ]
        if not without:
            continue
        copies = _copies(artefact, engines)
        # Prefer a zone without a copy, then the least busy engine.
        zones = {e.availability_zone for e in engines if artefact in e.loaded_artifacts}
        engine = min(
            without,
            key=lambda e, covered=zones: (
                e.availability_zone in covered,
                e.requests_in_flight,
                e.id,
            ),
        )
        reason = "no copy" if not copies else "too few copies"
        rank = (
            min(copies, MIN_COPIES),
            position if not copies else 0,
            copies,
            position,
        )
        if best is None or rank < best[0]:
            best = (rank, Load(engine.id, "load_model", artefact, reason))
    return best[1] if best else None


def _unloads(
    wanted: list[str], engines: tuple[Engine, ...], eligible: list[Engine]
) -> list[Load]:
    """Return unloads of artefacts that are obsolete or replaced by a new version."""
    current = set(wanted)
    successors = {artefact.partition("@")[0]: artefact for artefact in wanted}
    present = sum(engine.present for engine in engines)
    unloads = []
    for engine in eligible:
        for artefact in engine.loaded_artifacts:
            if artefact in current:
                continue
            successor = successors.get(artefact.partition("@")[0])
            copies = _copies(successor, engines) if successor else 0
            enough = copies >= min(MIN_COPIES, present)
            if successor is None or (successor in engine.loaded_artifacts and enough):
                reason = f"replaced by {successor}" if successor else "withdrawn"
                unloads.append(Load(engine.id, "unload_model", artefact, reason))
                break
    return unloads
