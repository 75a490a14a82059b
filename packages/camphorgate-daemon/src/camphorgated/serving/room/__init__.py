"""Lends the slots of upstreams, so that none is free while a request waits.

Provides ``room``. The slots of a small service, or of a part of a large one, are lent
by one instance at a time, the owner, by a hash order that all compute alike. A request
asks it by a datagram before it is sent, and returns the slot by another. Used for
services without engines whose upstreams report their load.
"""

from camphorgate.application import Application
from camphorgated.serving.room.owner import RoomOwner
from camphorgated.serving.room.room import Room


def setup(app: Application) -> None:
    """Provide the loans of slots."""
    owner = RoomOwner(app)
    room = Room(app, owner)
    app.provide("room", room)
    app.add_dump_section("room", room.dump)
