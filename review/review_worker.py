"""Stand-in for a worker of a plain service, as the protocol page describes it.

``python3 review_worker.py PORT ID RUNS_FILE``; each run appends a line to RUNS_FILE.
What a request asks of it stands in its path: ``bytes-N`` answers with N bytes,
``wait-N`` takes N ms. ``HEAD`` is answered as for an empty resource, without a body.
"""

import asyncio
import itertools
import json
import re
import sys
import time

PORT, NAME, RUNS = int(sys.argv[1]), sys.argv[2], sys.argv[3]
_stamps = itertools.count(1)


def asked(path: str, what: str, otherwise: int) -> int:
    """Return the number that a path names."""
    found = re.search(rf"{what}-(\d+)", path)
    return int(found[1]) if found else otherwise


def write_run(run: dict) -> None:
    """Append a run to the file of runs."""
    with open(RUNS, "a", encoding="utf-8") as runs:
        runs.write(json.dumps(run) + "\n")


async def read_request(reader):
    """Return method, path, headers and body, ``None`` at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split()
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, path, headers, body


def head(status: str, fields: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer(writer, method, path, headers) -> None:
    """Run a request and answer it."""
    attempt = headers.get("x-attempt-id", "")
    if headers.get("x-expect-instance", NAME) != NAME:
        fields = {"x-attempt-id": attempt, "x-not-executed": "1"}
        fields |= {"x-instance-id": NAME, "content-length": "0"}
        writer.write(head("421 Misdirected Request", fields))
        return
    run = {"at": time.time(), "attempt": attempt, "method": method, "path": path}
    write_run(run)
    await asyncio.sleep(asked(path, "wait", 10) / 1000)
    fields = {"x-attempt-id": attempt, "x-server-stamp": f"{NAME}.{next(_stamps)}"}
    size = 0 if method == "HEAD" else asked(path, "bytes", 800)
    writer.write(head("200 OK", fields | {"content-length": str(size)}))
    writer.write(bytes(ord("a") + number % 26 for number in range(size)))
    await writer.drain()


async def serve(reader, writer) -> None:
    """Serve one connection."""
    try:
        while (request := await read_request(reader)) is not None:
            method, path, headers, _ = request
            if path == "/healthz":
                fields = {"x-instance-id": NAME, "content-length": "0"}
                writer.write(head("200 OK", fields))
            else:
                await answer(writer, method, path, headers)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(serve, "127.0.0.1", PORT)
    await server.serve_forever()


asyncio.run(main())
