"""Tests of numbers in the headers of callers that are larger than any real one."""

from tests.hosting_builders import HOST
from tests.test_serving.test_faulty_upstreams import ScriptedWorkerCase

# More than 64 bits, and more digits than Python converts to an integer.
LARGE_NUMBERS = (b"9" * 20, b"9" * 5000)


class LargeNumberTests(ScriptedWorkerCase):
    """A number that is too large is malformed; its request is served."""

    async def start_pair(self):
        """Start two daemons that know each other, and return the first."""
        app, _ = await self.start_scripted([], engine=True)
        peer = await self.start_ready(instance_id="entry-2")
        await self.wait_for_peers([app, peer])
        return app

    async def check_served(self, headers):
        """Check that a stream with some more headers is answered."""
        app = await self.start_pair()
        for number in LARGE_NUMBERS:
            lines = {
                b"host": HOST.encode(),
                b"x-model": b"m",
                b"x-token-count": b"60,66",
                b"x-prompt-prefix": b"5c:60",
                **{name: value % number for name, value in headers.items()},
            }
            with self.subTest(digits=len(number)):
                response = await self.request(
                    app, "/chat/a", method="POST", headers=lines
                )
                self.assertEqual((response.status, response.complete), (200, True))

    async def test_large_deadline(self):
        """Guards against a request without an answer because of its deadline."""
        await self.check_served({b"x-deadline": b"%b"})

    async def test_large_token_count(self):
        """Guards against a count that cannot be announced to peers."""
        await self.check_served({b"x-token-count": b"%b,66"})

    async def test_large_prompt_part(self):
        """Guards against a part whose size cannot be announced to peers."""
        await self.check_served({b"x-prompt-prefix": b"5c:%b"})

    async def test_large_event_id(self):
        """Guards against a request without an answer because of its event id."""
        await self.check_served({b"last-event-id": b"%b"})
