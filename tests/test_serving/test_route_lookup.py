"""Tests of the lookup of a request's route."""

import random
import time
import unittest

from camphorgate.serving.catalog import Catalog, Kind, Limits, Route

HOSTS = ("shop.example", "depot.example")


def build_route(name: str, host: str, prefix: str) -> Route:
    """Return a route without handling of its own."""
    return Route(name, host, prefix, Kind.IDEMPOTENT, (("desk", 1.0),), 1.0, 0.1)


def build_catalog(routes: list[Route]) -> Catalog:
    """Return a catalog of some routes."""
    return Catalog(1, b"", routes, [], None, Limits())


def find_by_scanning(routes: list[Route], host: str, path: str) -> Route | None:
    """Return the first of the routes with the longest matching prefix."""
    found = [
        route
        for route in routes
        if route.host.lower() == host and path.startswith(route.prefix)
    ]
    return max(found, key=lambda route: len(route.prefix), default=None)


class RouteLookupTests(unittest.TestCase):
    """The route with the longest prefix is found among any number of routes."""

    def test_lookup_agrees_with_a_scan_of_all_routes(self):
        """Guards against a request that runs by another route."""
        source = random.Random(4)

        def build_path() -> str:
            return "/" + "".join(
                source.choice("ab/") for _ in range(source.randrange(8))
            )

        for _ in range(300):
            routes = [
                build_route(
                    str(number),
                    source.choice((*HOSTS, HOSTS[0].upper())),
                    source.choice((build_path(), "")),
                )
                for number in range(source.randrange(12))
            ]
            catalog = build_catalog(routes)
            for _ in range(20):
                host, path = source.choice(HOSTS), build_path()
                expected = find_by_scanning(routes, host, path)
                self.assertIs(catalog.match(f"{host}:80", path), expected)

    def measure_lookup_seconds(self, routes: int) -> float:
        """Return the time of a lookup by any of the routes, the least of five."""
        names = [f"/area-{number}/" for number in range(routes)]
        catalog = build_catalog(
            [build_route(name, HOSTS[0], name) for name in names],
        )
        paths = [f"{name}item" for name in (names * 1000)[:1000]]
        times = []
        for _ in range(5):
            began = time.process_time()
            for path in paths:
                catalog.match(HOSTS[0], path)
            times.append(time.process_time() - began)
        return min(times) / len(paths)

    def test_time_of_a_lookup_does_not_follow_from_the_number_of_routes(self):
        """Guards against requests that are slower because routes were added."""
        few, many = (self.measure_lookup_seconds(count) for count in (10, 2810))
        self.assertLess(many, 10 * few)
