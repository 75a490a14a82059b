"""Tests of the deploy file, the settings template and the program."""

import asyncio
import json
import re
import signal
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

import json5
import msgspec

from camphorgate.errors import SettingsError
from camphorgate.serving.settings import validate_hosted_settings
from camphorgated.program import load_settings
from tests.hosted import HostedCase, build_hosted_settings, free_address

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy"
FIELDS = {
    "node-name": "front-a-1",
    "zone": "zone-a",
    "ip": "10.0.0.1",
    "listen-addrs.front": "10.0.0.1:80",
    "listen-addrs.ready": "10.0.0.1:81",
    "listen-addrs.control": "10.0.0.1:82",
    "platform.address": "10.0.0.2:80",
    "cloud-api.address": "10.0.0.3:80",
    "port-range.0": 7000,
    "seeds": ["10.0.0.4:82"],
    "bounds.retry-budget-ratio": 0.2,
    "bounds.retry-slack": 54,
    "bounds.budget-window-s": 10,
    "bounds.lease-ms": 3000,
    "bounds.require-fence": False,
    "bounds.grace-s": 8,
    "bounds.usage-window-s": 5,
    "bounds.usage-late-s": 10,
    "limits.memory-mb": 200,
}


def fill_template(text: str) -> str:
    """Fill the template as the platform does."""

    def fill(match: re.Match) -> str:
        name, _, format_name = match[1].partition("|")
        value = FIELDS[name]
        return json.dumps(value) if format_name == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


class DeployFileTests(unittest.TestCase):
    """The platform can build and start what the deploy file describes."""

    def setUp(self):
        """Read the deploy file."""
        self.deploy = tomllib.loads((DEPLOY / "system.toml").read_text())

    def test_role_starts_the_daemon_with_a_template(self):
        """Guards against a role that starts another program."""
        role = self.deploy["roles"]["entry"]
        words = role["run"].split()
        program, *options = words[: words.index("-m")]
        self.assertEqual(program, "python3")
        # -S: the system's site packages are not needed.
        self.assertEqual(options, ["-S"])
        self.assertEqual(words[2:4], ["-m", "camphorgated.main"])
        self.assertTrue((ROOT / role["template"]).exists())
        self.assertEqual(role["serves"], ["front", "control"])

    def test_build_names_existing_folders(self):
        """Guards against a build that copies a renamed folder."""
        for path in re.findall(r"(?:packages|platform)/\S+", self.deploy["build"]):
            self.assertTrue((ROOT / path).is_dir(), path)

    def test_runtime_libraries_match_those_of_the_tests(self):
        """Guards against a daemon that runs with untested library versions."""
        pinned = set((ROOT / "requirements.txt").read_text().split())
        runtime_requirements = (ROOT / "requirements-run.txt").read_text().splitlines()
        for line in runtime_requirements:
            if line and not line.startswith("#"):
                self.assertIn(line, pinned)

    def test_filled_template_is_valid(self):
        """Guards against a template that the daemon does not accept."""
        text = fill_template((DEPLOY / "settings.jsonc").read_text())
        settings = validate_hosted_settings(json5.loads(text), "template")
        self.assertEqual(settings.times.lease_seconds, 3.0)
        self.assertFalse(settings.duty.require_fence)
        self.assertEqual(settings.seeds, ("10.0.0.4:82",))
        self.assertEqual(settings.operator_address, "10.0.0.1:7000")
        self.assertEqual(settings.memory_mb, 200)

    def test_own_days_are_readable(self):
        """Guards against a day that the users' benchmark skips as invalid."""
        for path in (DEPLOY / "days").glob("*.toml"):
            with self.subTest(day=path.name):
                day = tomllib.loads(path.read_text())["day"]
                self.assertTrue(all(item["name"] for item in day))


class SettingsTests(unittest.TestCase):
    """Invalid settings are refused with the path of the invalid field."""

    def test_invalid_fields_are_named(self):
        """Guards against a daemon that starts with incomplete settings."""
        text = fill_template((DEPLOY / "settings.jsonc").read_text())
        valid = json5.loads(text)
        for name, value, expected in (
            ("caller_address", "nowhere", "$.caller_address"),
            ("budget", {"ratio": "much"}, "$.budget.ratio"),
            ("unknown", 1, "unknown"),
        ):
            with self.subTest(field=name), self.assertRaises(SettingsError) as raised:
                validate_hosted_settings({**valid, name: value}, "x")
            self.assertIn(expected, raised.exception.message)


class StartTests(unittest.TestCase):
    """A restarted process serves before it loads libraries that no request needs."""

    def test_large_libraries_are_imported_late(self):
        """Guards against an import that delays every restart by a tenth of a second."""
        code = (
            "import importlib, sys\n"
            "from camphorgated.serving import daemon\n"
            "names = [f'camphorgated.serving.{n}' for n in daemon._EXTENSIONS]\n"
            "for name in ['camphorgate_platform.extension', *names]:\n"
            "    importlib.import_module(name)\n"
            "late = {'grpc', 'google.protobuf', 'starlette', 'uvicorn', 'aiosonic'}\n"
            "print(sorted(late & set(sys.modules)))\n"
        )
        run = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual(run.stdout.strip(), "[]")


class ProgramTests(HostedCase):
    """The program starts, serves and exits as the platform expects."""

    async def start_program(self):
        """Start the daemon in a separate process."""
        settings = build_hosted_settings(
            self.store_address,
            operator_address=free_address(),
            duties=["usage", "fleet"],
        )
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "settings.jsonc"
        path.write_text("// of a test\n" + msgspec.json.encode(settings).decode())
        self.assertEqual(load_settings(str(path)), settings)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "camphorgated.main",
            str(path),
            stdout=asyncio.subprocess.PIPE,
        )
        self.addCleanup(lambda: process.returncode is None and process.kill())
        return process, settings

    async def test_program_serves_and_exits_with_success(self):
        """Guards against a build that only works inside the tests."""
        self.configure()
        await self.add_worker("desk-1")
        process, settings = await self.start_program()

        class App:
            """The attribute of a daemon that ``request`` uses."""

        App.settings = settings
        status = 0
        async with asyncio.timeout(20):
            while status != 200:
                await asyncio.sleep(0.1)
                try:
                    status = (await self.request(App, "/read/a")).status
                except OSError:
                    continue
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        output, _ = await asyncio.wait_for(process.communicate(), 10)
        self.assertEqual(process.returncode, 0)
        lines = output.decode().splitlines()
        events = [re.search(r"event=(\S+)", line)[1] for line in lines]
        for name in ("started", "answered", "settings_reloaded", "draining", "stopped"):
            self.assertIn(name, events)

    async def test_settings_that_change_during_the_start_do_not_end_it(self):
        """Guards against SIGHUP that ends a process which is loading its modules."""
        self.configure()
        process, _ = await self.start_program()
        maps = Path(f"/proc/{process.pid}/maps")
        # A library that the program loads early.
        await self.eventually(lambda: "uvloop" in maps.read_text())
        process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(20):
            lines = []
            while not lines or b"event=started" not in lines[-1]:
                lines.append(await process.stdout.readline())
                self.assertTrue(lines[-1], lines)
        process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(process.communicate(), 10)
        self.assertEqual(process.returncode, 0)
        self.assertTrue(any(b"event=settings_reloaded" in line for line in lines))
