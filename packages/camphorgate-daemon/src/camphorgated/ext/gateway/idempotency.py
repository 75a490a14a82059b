"""Requests with an Idempotency-Key: claimed before dispatch, replayed on a repeat."""

import asyncio
import hashlib

import msgspec

from camphorgate.errors import CamphorgateError
from camphorgate.log import log_event
from camphorgated.ext.gateway.call import RequestContext
from camphorgated.ext.gateway.errors import GatewayError

# A claim covers the whole request, so its body is buffered before it is sent.
MAX_CLAIMED_BODY_BYTES = 1_048_576
MAX_KEY_CHARACTERS = 256
# How long a response is delayed while it is stored in KV; a commit takes milliseconds.
MAX_STORE_WAIT_SECONDS = 0.25
_REPLAY_HEADER = (b"idempotent-replayed", b"true")


class StoredAnswer(msgspec.Struct, frozen=True):
    """The first response to a claimed request, as stored by the claims service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class IdempotentCall:
    """A request that holds a claim on its idempotency key.

    It runs to its end even if its caller disconnects, because a repeat of the request
    asks for its response.
    """

    __slots__ = ("response", "_call", "_claims", "_claim")

    def __init__(self, call: RequestContext) -> None:
        """Start without a claim.

        :raises GatewayError: if there is no claims service.
        """
        self._call = call
        self._claims = call.gateway.claims
        self._claim = None
        self.response: StoredAnswer | None = None
        if self._claims is None:
            message = "this instance cannot claim idempotency keys"
            raise GatewayError("claims_unavailable", message)

    async def claim(self, key: str, digest: str) -> bytes | None:
        """Claim the key and return the stored first response if there is one.

        :param digest: of the request; a key is valid for one request only.
        :raises GatewayError: if the claim cannot be made, or the first run has no
            stored response.
        """
        workspace = self._call.record.workspace
        try:
            self._claim = await self._claims.claim(workspace, key, digest)
        except GatewayError:
            raise
        except CamphorgateError as error:
            raise _translate(error) from None
        return self._claim.answer

    def set_response(self, status: int, headers: list, body: bytes) -> None:
        """Set the response that a repeat of the request gets."""
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in headers
            if name != b"content-length"
        ]
        self.response = StoredAnswer(status, pairs, body)

    async def finish(self) -> None:
        """Store the response; without one, a repeat gets ``outcome_unknown``.

        The caller waits for a bounded time only: its request has run, and until the
        response is stored, a repeat finds the claim without a response.
        """
        gateway = self._call.gateway
        storing_task = gateway.app.spawn(self._store(), "store first answer")
        gateway.storing_tasks.add(storing_task)
        storing_task.add_done_callback(gateway.storing_tasks.discard)
        await asyncio.wait([storing_task], timeout=MAX_STORE_WAIT_SECONDS)

    async def _store(self) -> None:
        response = msgspec.json.encode(self.response) if self.response else None
        try:
            await self._claims.finish(self._claim, response)
        except CamphorgateError as error:
            log_event("answer_not_stored", level="WARNING", cause=error.code)

    async def release(self) -> None:
        """Release the claim of a request that did not run, so that it may be resent."""
        await self._claims.release(self._claim)


def _translate(error: CamphorgateError) -> GatewayError:
    if error.code == "outcome_unknown":
        return GatewayError(error.code, error.message, status=409)
    if error.code == "bad_request":
        return GatewayError(error.code, error.message, status=422)
    return GatewayError("claims_unavailable", error.message)


def request_digest(call: RequestContext, target: bytes, body: bytes) -> str:
    """Return a digest that is the same for every repeat of the request."""
    content_type = call.header(b"content-type") or b""
    method = call.scope["method"].encode()
    parts = b"\0".join((method, target, content_type, body))
    return hashlib.sha256(parts).hexdigest()


def decode_idempotency_key(value: bytes) -> str:
    """Return the idempotency key of a header.

    :raises GatewayError: if it is empty or too long.
    """
    key = value.decode("latin-1").strip()
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        message = f"an Idempotency-Key has 1 to {MAX_KEY_CHARACTERS} characters"
        raise GatewayError("bad_request", message)
    return key


async def read_claimed_body(call: RequestContext) -> bytes:
    """Return the whole body of a request that is to be claimed.

    :raises GatewayError: if it exceeds the limit for claimed requests.
    """
    length = call.check_body_length()
    chunks, size = [], 0
    while length != 0 and (chunk := await call.read()):
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_CLAIMED_BODY_BYTES:
            message = (
                "a body with an Idempotency-Key has at most "
                f"{MAX_CLAIMED_BODY_BYTES} bytes"
            )
            raise GatewayError("body_too_large", message)
    return b"".join(chunks)


async def replay_response(call: RequestContext, stored: bytes) -> None:
    """Send the stored first response again."""
    response = msgspec.json.decode(stored, type=StoredAnswer)
    headers = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in response.headers]
    await call.send_response(response.status, [*headers, _REPLAY_HEADER], response.body)
