"""``camphorgate``: submit a manifest, read what the system reports."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import fire

from camphorgate.errors import ManifestError
from camphorgate.manifest_check import parse_manifest
from camphorgate_cli import output
from camphorgate_cli.client import AdminClient
from camphorgate_cli.errors import CommandError, NotInForceError

DEFAULT_ADDRESS = "127.0.0.1:18102"
ADDRESS_VARIABLE = "CAMPHORGATE_ADDRESS"
POLL_SECONDS = 0.2


class Commands:
    """Operate a camphorgate system through the admin address of any daemon.

    The address comes from --address, else from CAMPHORGATE_ADDRESS. Add --json for
    programs. Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict,
    4 unreachable, 5 accepted but not in force everywhere in time.
    """

    def __init__(self, address: str = "", json: bool = False) -> None:
        self._address = str(
            address or os.environ.get(ADDRESS_VARIABLE) or DEFAULT_ADDRESS
        )
        self._json = json

    def submit(
        self,
        manifest: str,
        base_version: int | None = None,
        wait: bool = False,
        timeout: float = 30.0,
    ) -> None:
        """Submit a manifest; the system then does what it declares.

        :param manifest: path of the file.
        :param base_version: the version that it replaces; refused with exit code 3 if
            another one was accepted since. The version in force by default.
        :param wait: wait until it is in force on every instance.
        :param timeout: seconds to wait at most.
        """
        text = _read(manifest)
        try:
            _validate(text, manifest)
            answer = asyncio.run(self._submit(text, base_version, wait, timeout))
        except CommandError as error:
            problems = error.answer.get("problems")
            if problems:
                error.message = output.format_problems(problems, manifest)
            raise
        self._print(answer, _format_submitted(answer))

    def validate(self, manifest: str) -> None:
        """Check a manifest without submitting it; lists every error.

        :param manifest: path of the file.
        """
        checked = _validate(_read(manifest), manifest)
        counts = {
            name: len(getattr(checked, name))
            for name in ("workspaces", "services", "models", "pools")
        }
        words = ", ".join(f"{count} {name}" for name, count in counts.items())
        self._print({"valid": True, **counts}, f"{manifest} is valid: {words}")

    def status(self) -> None:
        """Show instances, versions in force, queues and duties."""
        answer = asyncio.run(AdminClient(self._address).get("/admin/status"))
        self._print(answer, output.format_tree(answer))

    def report(self) -> None:
        """Show what the system answers for, over all instances."""
        answer = asyncio.run(AdminClient(self._address).get("/admin/report"))
        self._print(answer, output.format_tree(answer))

    def dump(self, address: str = "") -> None:
        """Show the whole state of one process; keys are never shown.

        :param address: admin address of the process.
        """
        client = AdminClient(str(address or self._address))
        answer = asyncio.run(client.get("/admin/dump"))
        self._print(answer, output.format_tree(answer))

    async def _submit(
        self, text: str, base_version: int | None, wait: bool, timeout: float
    ) -> dict[str, Any]:
        client = AdminClient(self._address)
        answer = await client.submit(text, base_version)
        if wait:
            started = time.monotonic()
            answer["missing"] = await _wait_in_force(client, answer, timeout)
            answer["seconds"] = round(time.monotonic() - started, 3)
        return answer

    def _print(self, answer: dict[str, Any], text: str) -> None:
        print(json.dumps(answer, indent=2) if self._json else text)


async def _wait_in_force(
    client: AdminClient, answer: dict[str, Any], timeout: float
) -> list[str]:
    """Wait until the version is in force on every instance.

    :raises NotInForceError: naming the instances that are missing.
    """
    deadline = time.monotonic() + timeout
    while True:
        status = await client.get("/admin/status")
        missing = [
            member["instance"]
            for member in status["instances"]
            if member["version"] < answer["version"]
        ]
        if not missing:
            return []
        if time.monotonic() > deadline:
            names = ", ".join(missing)
            message = (
                f"version {answer['version']} was accepted but is not in force "
                f"on: {names}"
            )
            raise NotInForceError(message, {**answer, "missing": missing})
        await asyncio.sleep(POLL_SECONDS)


def _read(path: str) -> str:
    try:
        return Path(str(path)).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"cannot read {path}: {error}") from None


def _validate(text: str, path: str) -> Any:
    try:
        return parse_manifest(text)
    except ManifestError as error:
        problems = [
            {"path": p.path, "message": p.message, "line": p.line}
            for p in error.problems
        ]
        raise CommandError(
            output.format_problems(problems, path),
            {"code": error.code, "problems": problems},
        ) from None


def _format_submitted(answer: dict[str, Any]) -> str:
    text = f"version {answer['version']} is accepted"
    if "seconds" in answer:
        seconds = output.format_duration(answer["seconds"])
        text += f" and in force on every instance after {seconds}"
    return text


def main() -> None:
    """Run the command and exit with its code."""
    try:
        fire.Fire(Commands, name="camphorgate")
    except CommandError as error:
        if "--json" in sys.argv:
            answer = {"code": error.code, "message": error.message, **error.answer}
            print(json.dumps({"error": answer}, indent=2))
        else:
            print(error.message, file=sys.stderr)
        sys.exit(error.exit_code)
    except BrokenPipeError:
        sys.exit(1)


if __name__ == "__main__":
    main()
