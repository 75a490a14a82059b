"""Keeps the weight store's rate limit across the whole system."""

from camphorgate.application import Application
from camphorgate.authority.errors import OrderDeferred
from camphorgate.authority.orders import Journal
from camphorgate.fleet.slots import has_turn, turn_of, turn_seconds


def check_load(app: Application, duty: str, journal: Journal) -> int:
    """Return the turn in which a model may be loaded now.

    The duties of all engine pools take turns by the clock. The turn is part of the
    order in the journal, so that a new holder does not use its predecessor's again.

    :raises OrderDeferred: if it is another duty's turn, or the turn is used up.
    """
    index = app.service("configuration").index
    rate = index.manifest.weight_store.loads_per_minute
    pools = [pool for pool in index.manifest.pools if pool.kind == "engines"]
    names = [f"engines/{pool.name}" for pool in pools]
    now = app.clock.now().timestamp()
    length = turn_seconds(rate)
    if not has_turn(now, length, duty, names):
        raise OrderDeferred("the weight store's rate allows no load now")
    turn = turn_of(now, length)
    used = {
        order.body.get("turn")
        for order in (*journal.open_orders, *journal.closed_orders)
        if order.kind == "load_model"
    }
    if turn in used:
        raise OrderDeferred(f"turn {turn} of the weight store is used up")
    return turn
