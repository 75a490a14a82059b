"""Callers that send requests to the daemons throughout a soak."""

import asyncio
import random
import time

from camphorgate.settings import split_address
from camphorgated.serving.client_connection import connect
from camphorgated.serving.http1 import encode_head
from tests.hosting_builders import HOST
from tests.soak.checks import CallerRequest

EVENTS_PER_STREAM = 8


async def call_until_stopped(soak, number: int) -> None:
    """Send requests one after the other, reusing the connection while it is open."""
    generator = random.Random(soak.seed * 1000 + number)
    connection = None
    count = 0
    while not soak.stopping:
        count += 1
        kind = generator.choice(("read", "book", "book", "chat", "draft"))
        key = generator.choice(list(soak.keys))
        attempt = f"s{soak.seed}-{number}-{count}"
        request = CallerRequest(attempt, kind, key, time.monotonic())
        try:
            if connection is None or not connection.usable:
                address = generator.choice(soak.caller_addresses)
                connection = await connect(*split_address(address), 1.0)
            request.instance = address
            soak.requests.append(request)
            async with asyncio.timeout(generator.choice((0.2, 4.0, 4.0, 4.0))):
                await _send_request(connection, request)
        except (OSError, TimeoutError):
            request.abandoned = True
        if connection is not None and not (request.complete and connection.finish()):
            connection.close()
            connection = None
        await asyncio.sleep(generator.uniform(0.0, 0.03))
    if connection is not None:
        connection.close()


async def call_once(address: str, request: CallerRequest) -> None:
    """Send one request on a connection of its own; its status stays 0 if that fails."""
    connection = None
    try:
        async with asyncio.timeout(4.0):
            connection = await connect(*split_address(address), 1.0)
            await _send_request(connection, request)
    except (OSError, TimeoutError):
        request.abandoned = True
    if connection is not None:
        connection.close()


async def _send_request(connection, request: CallerRequest) -> None:
    body = request.attempt.encode()
    lines = [
        (b"host", HOST.encode()),
        (b"x-attempt-id", body),
        (b"x-deadline", b"3000"),
        (b"authorization", b"Bearer " + request.key.encode()),
        (b"x-model", b"m"),
        (b"x-token-count", b"900,%d" % (EVENTS_PER_STREAM * 11)),
        (b"x-prompt-prefix", b"common:400,%s:500" % body),
        (b"content-length", b"%d" % len(body)),
    ]
    start = f"POST /{request.kind}/x HTTP/1.1".encode()
    connection.send("POST", encode_head(start, lines) + body)
    request.status = await connection.read_head()
    request.answered_at = time.time()
    headers = dict(connection.headers)
    if headers.get(b"server-leaving") == b"1":
        stamp = headers.get(b"x-server-stamp", b"").decode()
        request.leaving_worker = stamp.partition(".")[0]
    chunks = []
    while chunk := await connection.read_piece():
        chunks.append(chunk)
    request.body = b"".join(chunks)
    request.complete = chunk is not None and request.status != 0
