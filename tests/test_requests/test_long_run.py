"""Tests for routing policies over many requests."""

import unittest

from camphorgate.requests.request_state import RoutingRequest, UpstreamState
from camphorgate.requests.routing import POLICIES


class LongRunTests(unittest.TestCase):
    def test_every_policy_goes_on_choosing(self):
        """Guards against a policy that fails after some number of requests."""
        views = [UpstreamState(id=f"e{n}", pool="models") for n in range(2)]
        request = RoutingRequest(
            workspace="w", pool="models", model="m", prompt_tokens=9
        )
        for name in POLICIES:
            policy = POLICIES.get(name)("i-1")
            for number in range(2100):
                with self.subTest(policy=name, number=number):
                    self.assertIsNotNone(policy.choose(views, request, 0.0))
