"""Runs the whole system against the stand-ins and demonstrates its functions."""

import argparse
import json
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path

from camphorgate_standins.processes import (
    ADMIN_PORTS,
    BIN,
    CALLER_PORTS,
    PLATFORM_PORT,
    System,
    find_free_offset,
)

DAEMONS = {"entry-1": "zone-a", "entry-2": "zone-b"}
KEY = "demo-key-north"
RESPONSE_TIMEOUT_SECONDS = 30


def _print(text: str) -> None:
    print(text, flush=True)


def _post(address: str, path: str, body: dict, **headers: str) -> bytes:
    data = json.dumps(body).encode()
    header_fields = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {KEY}",
    }
    header_fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    request = urllib.request.Request(f"http://{address}{path}", data, header_fields)
    with urllib.request.urlopen(request, timeout=RESPONSE_TIMEOUT_SECONDS) as response:
        return response.read()


def _run_command(system: System, *arguments: str) -> None:
    address = system.address(ADMIN_PORTS[0])
    _print(f"$ camphorgate {' '.join(arguments)} --address {address}")
    command = [str(BIN / "camphorgate"), *arguments, "--address", address]
    subprocess.run(command, check=True)


def _register_instance(system: System, name: str, zone: str, port: int) -> None:
    entry = {"id": name, "address": system.address(port), "zone": zone, "state": "live"}
    _post(system.address(PLATFORM_PORT), "/control/instances", entry)


def start(system: System) -> None:
    """Start the stand-ins and the daemons, and submit the demo's manifest."""
    _print(f"Files and logs: {system.folder}")
    system.start_standins()
    _print("Started stand-ins: kv, platform, engine-1, engine-2, ordering-1")
    for (name, zone), port in zip(DAEMONS.items(), CALLER_PORTS, strict=True):
        _register_instance(system, name, zone, port)
        system.start_daemon(name)
    for port in CALLER_PORTS:
        system.wait_for_page(port, "/healthz")
    _print("Started daemons: entry-1, entry-2")
    _run_command(system, "submit", str(system.folder / "manifest.jsonc"), "--wait")
    for port in CALLER_PORTS:
        system.wait_for_page(port, "/readyz")


def show_requests(system: System) -> None:
    """Send a streamed completion and a repeated booking through each daemon."""
    for number, port in enumerate(CALLER_PORTS, 1):
        address = system.address(port)
        prompt = {"role": "user", "content": f"Summarise contract {number}."}
        body = {"model": "assistant", "stream": True, "max_tokens": 8}
        stream = _post(address, "/v1/chat/completions", {**body, "messages": [prompt]})
        _print(
            f"\nentry-{number}: a streamed answer, {_summarize_stream(stream.decode())}"
        )
        booking = {"sacks": number, "to": "stall 7"}
        key = f"demo-booking-{number}"
        for attempt in ("a booking", "the same booking again"):
            response = _post(address, "/orders/bookings", booking, Idempotency_Key=key)
            _print(f"entry-{number}: {attempt}: {response.decode()}")


def _summarize_stream(stream: str) -> str:
    events = [
        json.loads(line[6:])
        for line in stream.split("\n")
        if line.startswith("data: {")
    ]
    text = "".join(event["choices"][0]["delta"]["content"] for event in events)
    if not stream.endswith("data: [DONE]\n\n"):
        raise RuntimeError(f"the stream ended without [DONE]: {stream[-200:]!r}")
    return f"{len(events)} tokens:{text}"


def show_curl(system: System) -> None:
    """Print example commands for another terminal."""
    caller = system.address(CALLER_PORTS[0])
    admin = system.address(ADMIN_PORTS[0])
    body = '{"model": "assistant", "stream": true, "prompt": "Hello"}'
    _print("\nThe system is running. In another terminal:")
    _print(
        f"  curl -N -H 'Authorization: Bearer {KEY}' http://{caller}/v1/completions \\"
    )
    _print(f"    -H 'Content-Type: application/json' -d '{body}'")
    _print(
        f"  curl -H 'Authorization: Bearer {KEY}' http://{caller}/orders/bookings \\"
    )
    _print("    -H 'Idempotency-Key: my-booking' -d '{\"sacks\": 2}'")
    _print(f"  .venv/bin/camphorgate status --address {admin}")
    _print(f"  .venv/bin/camphorgate report --address {admin}")
    _print("Press Ctrl-C to stop.")


def _stop(system: System) -> int:
    codes = system.stop_all()
    daemon_codes = {name: codes[name] for name in DAEMONS if name in codes}
    _print(f"\nStopped everything; exit codes of the daemons: {daemon_codes}")
    return 0 if set(daemon_codes.values()) == {0} else 1


def main() -> int:
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="run until Ctrl-C")
    parser.add_argument("--folder", type=Path, help="for settings and logs")
    parser.add_argument("--port-offset", type=int, help="added to every port")
    options = parser.parse_args()
    offset = options.port_offset
    if offset is None:
        offset = 0 if options.keep else find_free_offset()
    system = System(offset, options.folder)
    code = 1
    try:
        start(system)
        show_requests(system)
        _print("")
        _run_command(system, "status")
        if options.keep:
            show_curl(system)
            signal.signal(signal.SIGTERM, signal.default_int_handler)
            signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        code = _stop(system)
    return code


if __name__ == "__main__":
    sys.exit(main())
