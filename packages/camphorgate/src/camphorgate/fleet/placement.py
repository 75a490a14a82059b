"""Which models, adapters and versions are loaded on which engines.

All pools load through one weight store. Its limit holds across the system because
the pools take turns (:mod:`camphorgate.fleet.slots`), one load a turn.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from camphorgate.fleet.slots import has_turn, turn_of, turn_seconds
from camphorgate.fleet.state import Engine
from camphorgate.manifest import Manifest, Model

# Copies of each model below which a new version must not push out an old one.
MINIMUM_COPIES = 2


class Load(msgspec.Struct, frozen=True):
    """An order to load or unload one artefact, such as ``assistant@2``."""

    engine_id: str
    kind: str  # "load_model" or "unload_model"
    model: str
    reason: str


class PlacementMemory:
    """The last turn in which a load was sent, so that a turn is used once."""

    __slots__ = ("last_turn",)

    def __init__(self) -> None:
        """Start with no turn used."""
        self.last_turn: int | None = None


def artefacts_of(models: Iterable[Model]) -> list[str]:
    """Return every artefact that ought to be loaded, bases before their adapters."""
    wanted = []
    for model in models:
        wanted.append(f"{model.name}@{model.version}")
        wanted += [f"{item.name}@{item.version}" for item in model.adapters]
    return wanted


def names_served(
    wanted: Iterable[str], loaded_by_engine: Mapping[str, Sequence[str]]
) -> dict[str, frozenset[str]]:
    """Return the names of models and adapters that each engine should be asked for.

    Engines with the current version of an artefact serve its name. Without any, those
    with an older version do; if it is loaded nowhere, every engine may be asked, which
    loads it or refuses. An engine that names nothing as loaded may always be asked, as
    it may serve models that it was started with.

    :param wanted: the current artefacts, see :func:`artefacts_of`.
    :param loaded_by_engine: the loaded artefacts of each engine of the pool.
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
        unnamed = {engine for engine, loaded in loaded_by_engine.items() if not loaded}
        for engine in (current or older or set(loaded_by_engine)) | unnamed:
            served[engine].add(name)
    return {engine: frozenset(names) for engine, names in served.items()}


def plan_placement(
    manifest: Manifest,
    pool: str,
    engines: tuple[Engine, ...],
    memory: PlacementMemory,
    now: float,
) -> list[Load]:
    """Return at most one load, and the unloads that are safe now.

    :param now: seconds since the Unix epoch.
    """
    wanted = artefacts_of(item for item in manifest.models if item.pool == pool)
    able = [item for item in engines if item.phase == "serving" and not item.open_order]
    unloads = _unloads(wanted, engines, able)
    load = _next_load(wanted, engines, able)
    if load is None or not _take_turn(manifest, pool, memory, now):
        return unloads
    return [load, *(item for item in unloads if item.engine_id != load.engine_id)]


def _take_turn(
    manifest: Manifest, pool: str, memory: PlacementMemory, now: float
) -> bool:
    limit = manifest.weight_store.loads_per_minute
    if limit <= 0:
        return False
    names = [item.name for item in manifest.pools if item.kind == "engines"]
    length = turn_seconds(limit)
    turn = turn_of(now, length)
    if turn == memory.last_turn or not has_turn(now, length, pool, names):
        return False
    memory.last_turn = turn
    return True


def _copies(artefact: str, engines: Iterable[Engine]) -> int:
    return sum(artefact in engine.loaded for engine in engines if engine.present)


def _next_load(
    wanted: list[str], engines: tuple[Engine, ...], able: list[Engine]
) -> Load | None:
    """Return the most urgent load: the artefact with the fewest copies first."""
    best = None
    for order, artefact in enumerate(wanted):
        without = [engine for engine in able if artefact not in engine.loaded]
        if not without:
            continue
        copies = _copies(artefact, engines)
        # A zone without a copy comes first, then the least busy engine.
        zones = {e.availability_zone for e in engines if artefact in e.loaded}
        engine = min(
            without,
            key=lambda e, seen=zones: (e.availability_zone in seen, e.running, e.id),
        )
        reason = "no copy" if not copies else "too few copies"
        rank = (min(copies, MINIMUM_COPIES), order if not copies else 0, copies, order)
        if best is None or rank < best[0]:
            best = (rank, Load(engine.id, "load_model", artefact, reason))
    return best[1] if best else None


def _unloads(
    wanted: list[str], engines: tuple[Engine, ...], able: list[Engine]
) -> list[Load]:
    """Return unloads of old artefacts whose successors are in place."""
    current = set(wanted)
    successors = {artefact.partition("@")[0]: artefact for artefact in wanted}
    present = sum(engine.present for engine in engines)
    unloads = []
    for engine in able:
        for artefact in engine.loaded:
            if artefact in current:
                continue
            successor = successors.get(artefact.partition("@")[0])
            copies = _copies(successor, engines) if successor else 0
            enough = copies >= min(MINIMUM_COPIES, present)
            if successor is None or (successor in engine.loaded and enough):
                reason = f"replaced by {successor}" if successor else "withdrawn"
                unloads.append(Load(engine.id, "unload_model", artefact, reason))
                break
    return unloads
