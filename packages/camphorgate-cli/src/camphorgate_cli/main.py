"""The operators' command ``camphorgate``."""

import asyncio
import json
import os
import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import fire

from camphorgate.errors import ManifestError
from camphorgate.manifest_validation import parse_manifest
from camphorgate_cli import output
from camphorgate_cli.client import AdminClient
from camphorgate_cli.errors import CommandError, NotInForceError
from camphorgate_cli.explaining import (
    LogLine,
    explain,
    format_explanation,
    parse_line,
)

DEFAULT_ADDRESS = "127.0.0.1:18102"
ADDRESS_VARIABLE = "CAMPHORGATE_ADDRESS"


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
        """Submit a manifest, which replaces the one in force.

        :param manifest: path of the file.
        :param base_version: the version that it replaces; refused with exit code 3 if
            another one was accepted since. The version in force by default.
        :param wait: wait until it is in force on every instance.
        :param timeout: maximum seconds to wait.
        """
        text = _read_text_file(manifest)
        try:
            _parse_manifest(text, manifest)
            answer = self._submit(text, base_version, round(timeout) if wait else None)
            _check_in_force(answer, wait)
        except CommandError as error:
            error.message = _format_error(error, manifest)
            raise
        self._print(answer, _format_submitted(answer))

    def validate(self, manifest: str) -> None:
        """Check a manifest without submitting it; lists every error.

        :param manifest: path of the file.
        """
        checked = _parse_manifest(_read_text_file(manifest), manifest)
        counts = {
            name: len(getattr(checked, name))
            for name in ("workspaces", "services", "models", "pools")
        }
        summary = ", ".join(f"{count} {name}" for name, count in counts.items())
        self._print({"valid": True, **counts}, f"{manifest} is valid: {summary}")

    def status(self) -> None:
        """Show instances, versions in force, queues and duties."""
        answer = asyncio.run(AdminClient(self._address).get("/admin/status"))
        self._print(answer, output.format_tree(answer))

    def report(self) -> None:
        """Show the report over all instances."""
        answer = asyncio.run(AdminClient(self._address).get("/admin/report"))
        self._print(answer, output.format_tree(answer))

    def dump(self, address: str = "") -> None:
        """Show the whole state of one process; keys are never shown.

        :param address: admin address of the process.
        """
        client = AdminClient(str(address or self._address))
        answer = asyncio.run(client.get("/admin/dump"))
        self._print(answer, output.format_tree(answer))

    def quarantine(self, lift: str = "") -> None:
        """Show the prompt parts that are blocked because upstreams end under them.

        The address is the operator address of a hosted daemon.

        :param lift: a part whose blocks are lifted first, on every instance.
        """
        client = AdminClient(self._address)
        if lift:
            asyncio.run(client.lift_block(str(lift)))
        answer = asyncio.run(client.get("/admin/quarantine"))
        self._print(answer, output.format_tree(answer))

    def explain_route(self, path: str, *headers: str, workspace: str = "") -> None:
        """Show where a request would go now, and why, without sending it.

        The address is the operator address of a hosted daemon; each instance decides
        for itself. Lists the candidates with all terms of their costs, in ms.

        :param path: path of the request.
        :param headers: its headers, each as "name: value"; the host is one of them.
        :param workspace: name of the workspace that sends it, in place of a key.
        """
        client = AdminClient(self._address)
        lines = [str(header) for header in headers]
        answer = asyncio.run(client.explain_route(str(path), lines, str(workspace)))
        self._print(answer, output.format_tree(answer))

    def explain(self, request_id: str, *files: str) -> None:
        """Show the logged events that concern one request, in order of time.

        :param request_id: the id in the attempt, request or id field of the log lines.
        :param files: log files; standard input by default.
        """
        explanation = explain(
            _read_logs([str(path) for path in files]), str(request_id)
        )
        if not explanation["found"]:
            raise CommandError(
                f"no log line mentions the request {request_id}; lines about single "
                "requests are bounded to 50 a second an instance (see "
                "suppressed_lines in its dump)",
                explanation,
            )
        self._print(explanation, format_explanation(explanation))

    def _submit(
        self, text: str, base_version: int | None, wait_seconds: int | None
    ) -> dict[str, Any]:
        client = AdminClient(self._address)
        started = time.monotonic()
        answer = asyncio.run(client.submit(text, base_version, wait_seconds))
        answer["seconds"] = round(time.monotonic() - started, 3)
        return answer

    def _print(self, answer: dict[str, Any], text: str) -> None:
        print(json.dumps(answer, indent=2) if self._json else text)


def _format_error(error: CommandError, manifest: str) -> str:
    problems = error.answer.get("problems")
    if problems:
        return output.format_problems(problems, manifest)
    changes = "".join(f"\n  {line}" for line in error.answer.get("changes", ()))
    return error.message + (f"; changed since:{changes}" if changes else "")


def _check_in_force(answer: dict[str, Any], wait: bool) -> None:
    """Check that a submission reached the state that the operator asked for.

    :raises NotInForceError: naming the missing instances.
    """
    if answer["in_force_everywhere"] or (answer["accepted"] and not wait):
        return
    version, names = answer["version"], ", ".join(answer["missing"]) or "unknown"
    if answer["accepted"]:
        text = f"version {version} is accepted but not known to be in force on: {names}"
    else:
        text = (
            f"version {version} is written, but not known to a majority of the "
            f"instances; missing: {names}"
        )
    raise NotInForceError(text, answer)


def _read_logs(paths: list[str]) -> Iterator[LogLine]:
    """Yield the events of log files, or of standard input.

    :raises CommandError: if a log file cannot be read.
    """
    if not paths:
        yield from _parse_log(sys.stdin, "stdin")
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as log:
                yield from _parse_log(log, Path(path).stem)
        except OSError as error:
            raise CommandError(f"cannot read {path}: {error}") from None


def _parse_log(log: Iterable[str], source: str) -> Iterator[LogLine]:
    return filter(None, (parse_line(line, source) for line in log))


def _read_text_file(path: str) -> str:
    try:
        return Path(str(path)).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"cannot read {path}: {error}") from None


def _parse_manifest(text: str, path: str) -> Any:
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
    if answer["in_force_everywhere"]:
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
