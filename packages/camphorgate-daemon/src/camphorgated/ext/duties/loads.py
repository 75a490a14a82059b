"""Enforces the weight store's rate limit across all engine pools."""

from camphorgate.application import Application
from camphorgate.authority.errors import OrderDeferred
from camphorgate.authority.orders import Journal
from camphorgate.fleet.turns import current_turn, is_turn_of, turn_length_seconds


def current_load_turn(app: Application, duty: str, journal: Journal) -> int:
    """Return the number of the current turn, in which the duty may load one model.

    The wall clock is divided into turns, dealt to the duties of all engine pools. The
    turn number is stored with the order in the journal, so that a new holder does not
    reuse a turn of the predecessor.

    :raises OrderDeferred: if the turn belongs to another duty or is already used.
    """
    index = app.service("configuration").index
    rate = index.manifest.weight_store.loads_per_minute
    pools = [pool for pool in index.manifest.pools if pool.kind == "engines"]
    names = [f"engines/{pool.name}" for pool in pools]
    now = app.clock.now().timestamp()
    length = turn_length_seconds(rate)
    if not is_turn_of(now, length, duty, names):
        raise OrderDeferred("the weight store's rate limit allows no load in this turn")
    turn = current_turn(now, length)
    used = {
        order.body.get("turn")
        for order in (*journal.open_orders, *journal.closed_orders)
        if order.kind == "load_model"
    }
    if turn in used:
        raise OrderDeferred(f"turn {turn} of the weight store is already used")
    return turn
