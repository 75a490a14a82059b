"""Tests of crowds of clients that would exhaust the memory of an instance.

They check only what does not depend on the speed of the machine: the process lives, its
memory and descriptors stay under a bound, and an ordinary request is answered.
"""

from tests import crowds
from tests.crowds import BODY_BYTES, READY_PATH, SMALL_CHUNK_BYTES, CrowdCase


class RoutedPathTests(CrowdCase):
    """Crowds at a path with a route."""

    path = "/read/a"

    async def check(self, act, clients: int = crowds.CLIENTS):
        """Run a crowd at the address of the path."""
        await self.start_process()
        settings = self.settings
        ready = self.path == READY_PATH
        address = settings.ready_address if ready else settings.caller_address
        await self.run_crowd(address, act, clients)

    async def test_bodies_that_stop_one_byte_short(self):
        """Guards against partial bodies that fill the memory together."""
        await self.check(crowds.stop_short(self.path))

    async def test_chunked_bodies_without_an_end(self):
        """Guards against partial bodies whose length is not known."""
        await self.check(
            crowds.stop_short_in_chunks(self.path, 65536, BODY_BYTES),
        )

    async def test_bodies_in_chunks_of_one_byte(self):
        """Guards against pieces that take many times their bytes."""
        await self.check(crowds.stop_short_in_chunks(self.path, 1, SMALL_CHUNK_BYTES))

    async def test_requests_sent_ahead(self):
        """Guards against queued requests and responses that nobody reads."""
        await self.check(crowds.pipeline(self.path))

    async def test_bodies_far_over_the_limit(self):
        """Guards against bodies that are read although they are refused."""
        await self.check(crowds.exceed_limit(self.path))

    async def test_heads_that_stop_short(self):
        """Guards against heads of many short fields that are never complete."""
        await self.check(crowds.stop_within_head(self.path))

    async def test_small_bodies_that_stop_short(self):
        """Guards against connections that partial requests keep open."""
        await self.check(crowds.stop_within_small_body(self.path))


class UnroutedPathTests(RoutedPathTests):
    """Crowds at a path without a route."""

    path = "/nowhere"


class ReadyPathTests(RoutedPathTests):
    """Crowds at the address for readiness checks."""

    path = READY_PATH


class PromptPartTests(CrowdCase):
    """Crowds of prompts with very many parts."""

    async def test_prompts_of_many_parts(self):
        """Guards against heads of legal size whose parsed parts fill the memory."""
        await self.start_process()
        await self.run_crowd(
            self.settings.caller_address,
            crowds.send_many_parts("/draft/a"),
            crowds.PROMPT_CLIENTS,
        )
