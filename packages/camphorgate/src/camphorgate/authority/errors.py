"""Errors of the authority protocol."""

from camphorgate.errors import CamphorgateError


class AuthorityLost(CamphorgateError):
    """This process does not hold the duty, or no longer does; nothing was sent."""

    code = "authority_lost"


class OrderConflict(CamphorgateError):
    """The new order conflicts with open orders in the journal; nothing was sent."""

    code = "order_conflict"


class HandoverPending(CamphorgateError):
    """A predecessor may still send to the receiver, so nothing was sent."""

    code = "handover_pending"


class OrderRefused(CamphorgateError):
    """The receiver refused the order."""

    code = "order_refused"


class OrderUnanswered(CamphorgateError):
    """The order was sent but not answered; it stays open in the journal."""

    code = "order_unanswered"


class OrderDeferred(CamphorgateError):
    """The weight store's rate limit does not allow the order now; nothing was sent."""

    code = "order_deferred"
