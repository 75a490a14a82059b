"""Tests for routing policies over many requests."""

import unittest

from camphorgate.requests.routing import POLICIES
from camphorgate.requests.views import RequestView, UpstreamView


class LongRunTests(unittest.TestCase):
    def test_every_policy_goes_on_choosing(self):
        """Guards against a policy that fails after some number of requests."""
        views = [UpstreamView(id=f"e{n}", pool="models") for n in range(2)]
        request = RequestView(workspace="w", pool="models", model="m", prompt_tokens=9)
        for name in POLICIES:
            policy = POLICIES.get(name)("i-1")
            for number in range(2100):
                with self.subTest(policy=name, number=number):
                    self.assertIsNotNone(policy.choose(views, request, 0.0))
