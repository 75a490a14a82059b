"""Tests of extensions, events and registries."""

import asyncio
import sys
import types
import unittest

from camphorgate.application import Application
from camphorgate.errors import ExtensionError, RegistryError
from camphorgate.registry import Registry


class ApplicationTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.app = Application(settings=None)

    def test_extension_is_set_up_once(self):
        """Guards against duties that run twice because two modules load them."""
        calls = []
        module = types.ModuleType("example_extension")
        module.setup = calls.append
        sys.modules["example_extension"] = module
        self.addCleanup(sys.modules.pop, "example_extension")
        self.app.setup_extension("example_extension")
        self.app.setup_extension("example_extension")
        self.assertEqual(calls, [self.app])

    async def test_start_rejects_a_listener_of_an_undeclared_event(self):
        """Guards against a listener that never runs because of a misspelt name."""
        self.app.connect("manifest-chnaged", lambda: None)
        with self.assertRaises(ExtensionError):
            await self.app.start()

    async def test_stop_hooks_run_in_reverse_order(self):
        """Guards against closing the KV client before the duties are released."""
        order = []

        async def first():
            order.append("first")

        async def second():
            order.append("second")

        self.app.on_stop(first)
        self.app.on_stop(second)
        await self.app.stop()
        self.assertEqual(order, ["second", "first"])

    async def test_stop_ends_a_task_that_lost_its_cancellation(self):
        """Guards against a stop that hangs because wait_for dropped a cancellation."""

        async def stubborn():
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                await asyncio.sleep(3600)

        task = self.app.spawn(stubborn(), "stubborn")
        await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await self.app.stop()
        self.assertTrue(task.done())

    def test_service_has_one_provider(self):
        """Guards against two extensions that provide the same service."""
        self.app.provide("kv", object())
        with self.assertRaises(ExtensionError):
            self.app.provide("kv", object())


class RegistryTests(unittest.TestCase):
    def test_name_is_registered_once(self):
        """Guards against a policy that silently replaces another."""
        registry = Registry("policy")
        registry.register("first")(object())
        with self.assertRaises(RegistryError):
            registry.register("first")(object())
