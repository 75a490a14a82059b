"""Tests of entries of another writer among those of the upstreams."""

from unittest import mock

from tests.hosted import HostedCase
from tests.hosting_builders import build_platform_entry

BEYOND_64_BITS = 10**30
NESTED = b"[" * 20_000 + b"]" * 20_000
REQUESTS = 12


def build_nested_entry() -> bytes:
    """Return an entry with a field that is nested thousands of levels deep."""
    entry = build_platform_entry("127.0.0.1:9000")
    return entry[:-1] + b', "more": ' + NESTED + b"}"


def build_entry_with_host(host: str) -> bytes:
    """Return an entry whose address has some host."""
    return build_platform_entry(f"{host}:9000")


class OddEntryTests(HostedCase):
    """An odd entry names no upstream, and the others hold."""

    async def test_nested_entry_does_not_end_the_list(self):
        """Guards against an exception that ends the task that follows the list."""
        self.configure()
        await self.add_worker("w1", "desk")
        app = await self.start_ready()
        self.store.put("servers/nested", build_nested_entry())
        await self.add_worker("w2", "desk")
        table = app.service("directory").table
        await self.eventually(lambda: set(table.by_id) == {"w1", "w2"})
        late = await self.start_ready(instance_id="entry-2")
        self.assertEqual((await self.request(late, "/read/a")).status, 200)

    async def test_nested_configuration_keeps_the_one_in_force(self):
        """Guards against a configuration that ends the task that follows it."""
        self.configure()
        await self.add_worker("w1", "desk")
        app = await self.start_ready()
        self.store.put("op/config", b'{"version": 2, "more": ' + NESTED + b"}")
        self.configure(3)
        directory = app.service("directory")
        await self.eventually(lambda: directory.configuration.version == 3)

    async def test_host_that_cannot_be_used_names_no_upstream(self):
        """Guards against requests that fail on an address no socket can have."""
        self.configure()
        for number, host in enumerate(("10.0.0.1\0", "h" * 300, "a b", "é" * 70, ".")):
            entry = build_entry_with_host(host)
            self.store.put(f"servers/odd{number}", entry)
        await self.add_worker("w1", "desk")
        app = await self.start_ready()
        for _ in range(REQUESTS):
            self.assertEqual((await self.request(app, "/read/a")).status, 200)
        self.assertEqual(set(app.service("directory").table.by_id), {"w1"})

    async def test_numbers_beyond_64_bits_do_not_end_the_list(self):
        """Guards against numbers that are read but cannot be sent to peers."""
        self.configure()
        await self.add_worker("w1", "desk")
        apps = [await self.start_ready(instance_id=f"entry-{n}") for n in (1, 2)]
        await self.wait_for_peers(apps)
        for number, field in enumerate(("born", "slots", "sequence")):
            for sign in (1, -1):
                number_field = {field: sign * BEYOND_64_BITS}
                entry = build_platform_entry(
                    "127.0.0.1:9000", service="unknown", **number_field
                )
                self.store.put(f"servers/odd{number}{sign}", entry)
        self.store.put("op/config", b'{"version": %d}' % BEYOND_64_BITS)
        await self.add_worker("w2", "desk")
        self.configure(3)
        await self.check_following(apps, {"w1", "w2"}, 3)

    async def test_unreadable_value_does_not_end_the_list(self):
        """Guards against a value that is no base64 text."""
        self.configure()
        await self.add_worker("w1", "desk")
        apps = [await self.start_ready()]
        with mock.patch("base64.b64encode", return_value=b"a"):
            self.store.put("servers/odd", b"")
        await self.add_worker("w2", "desk")
        await self.check_following(apps, {"w1", "w2"}, 1)

    async def check_following(self, apps, workers: set[str], version: int):
        """Check that instances follow the store and that none of their tasks failed."""
        for app in apps:
            directory = app.service("directory")
            await self.eventually(
                lambda directory=directory: (
                    set(directory.table.by_id) == workers
                    and directory.configuration.version == version
                    and directory.sound
                )
            )
            self.assertEqual(app.dump()["kernel"]["failed_tasks"], {})

    async def test_nested_datagram_is_unreadable(self):
        """Guards against a datagram that raises instead of being counted."""
        self.configure()
        app = await self.start_daemon()
        gossip = app.service("gossip")
        gossip._receive(b"\x03" + b"\x91" * 5000)
        self.assertEqual(gossip.dump()["unreadable_datagrams"], 1)
