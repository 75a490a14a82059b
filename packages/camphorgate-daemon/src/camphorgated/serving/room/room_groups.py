"""Finds the groups of upstreams whose slots are lent together, and their owners."""

from collections.abc import Collection

from camphorgate.application import Application
from camphorgate.serving.permit_owners import choose_owner
from camphorgate.serving.room.groups import Group, group_upstreams

# The groups of a service are computed again after this time, in seconds.
CACHE_SECONDS = 0.05


class RoomGroups:
    """The groups of each service as this instance knows its upstreams."""

    __slots__ = ("_app", "_directory", "_candidates", "_found_by_service")

    def __init__(self, app: Application) -> None:
        """Use the list of upstreams and the instances that may own some."""
        self._app = app
        self._directory = app.service("directory")
        self._candidates = app.service("permit_grants").candidates
        self._found_by_service: dict[str, tuple[float, dict[str, Group]]] = {}

    def of_service(self, service: str) -> dict[str, Group]:
        """Return the groups of a service by key."""
        now = self._app.clock.monotonic()
        found = self._found_by_service.get(service)
        if found is None or now - found[0] >= CACHE_SECONDS:
            listed = self._directory.service_upstreams(service)
            found = (now, group_upstreams(service, listed))
            self._found_by_service[service] = found
        return found[1]

    def owner_address(self, group: Group, skipped: Collection[str]) -> str:
        """Return the gossip address of a group's owner, empty if none is known.

        :param skipped: addresses of instances that do not reply.
        """
        known = {
            instance: address
            for instance, address in self._candidates.by_instance(group.zone).items()
            if address not in skipped
        }
        owner = choose_owner(group.key, known)
        return "" if owner is None else known[owner]
