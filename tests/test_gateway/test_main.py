"""Tests of the command camphorgated: settings, extensions and exit codes."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from camphorgated.program import extension_names, main
from tests.test_kernel import test_manifest


def _check_settings(fields):
    """Return the exit code and the output of ``--check-settings``."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "settings.json")
        path.write_text(json.dumps(fields), encoding="utf-8")
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = main([str(path), "--check-settings"])
    return code, output.getvalue()


class MainTests(unittest.TestCase):
    def test_settings_are_checked_before_anything_starts(self):
        """Guards against a daemon that starts with invalid settings."""
        fields = test_manifest.SettingsTests.FIELDS
        cases = [
            (fields, 0, "valid"),
            ({**fields, "caller_adress": "x"}, 1, "caller_adress"),
            ({**fields, "extensions": ["gateway", "nope"]}, 1, "nope"),
        ]
        for data, expected_code, expected_text in cases:
            with self.subTest(expected_text=expected_text):
                code, output = _check_settings(data)
                self.assertEqual(code, expected_code, output)
                self.assertIn(expected_text, output)

    def test_only_existing_extensions_load_by_default(self):
        """Guards against a daemon that starts without the gateway."""
        settings = type("Settings", (), {"extensions": ()})()
        names = extension_names(settings)
        self.assertIn("camphorgated.ext.gateway", names)
        self.assertNotIn("camphorgated.ext.nope", names)
