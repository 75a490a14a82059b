"""Tests of the command that reconstructs a request from logs."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from camphorgate_cli.errors import CommandError
from camphorgate_cli.explaining import explain, format_explanation, parse_line
from camphorgate_cli.main import Commands

LINE_TEMPLATE = "time=2026-12-04T12:00:{:06.3f}+00:00 level=INFO event={}"


def build_line(second: float, event: str, source: str = "") -> str:
    """Return a log line of a daemon, prefixed by its instance if given."""
    line = LINE_TEMPLATE.format(second, event)
    return f"  {second - 10:.4f} {source} {line}" if source else line


LINES = (
    build_line(2.0, "store_lost watch=servers/", "entry-1"),
    build_line(8.0, "store_lost watch=servers/", "entry-1"),
    build_line(8.5, "store_lost watch=servers/", "entry-9"),
    build_line(9.0, "upstream_unlisted upstream=u1 outcome=dropped", "entry-2"),
    build_line(9.1, "upstream_unlisted upstream=u7 outcome=dropped", "entry-2"),
    build_line(10.0, "try_failed upstream=u1 cause=cut attempt=a-1", "entry-1"),
    build_line(10.0, "try_failed upstream=u1 cause=cut attempt=a-11", "entry-1"),
    build_line(
        10.2, 'request_given_up reason=deadline error="a \\"b\\" c" attempt=a-1', "e-1"
    ),
    build_line(10.3, "answered status=504 seconds=1.5 attempt=a-1", "entry-1"),
    "not a line of a daemon: attempt=a-1",
    "time=yesterday level=INFO event=answered attempt=a-1",
)


class ExplainTests(unittest.TestCase):
    """Tests of the events that are selected for one request."""

    def explain(self, request_id: str, lines=LINES) -> dict:
        """Return the explanation of a request from the lines."""
        parsed = (parse_line(line, "a-file") for line in lines)
        return explain([line for line in parsed if line], request_id)

    def test_limits_explain_a_refusal(self):
        """Guards against a refusal for limits of upstreams that no line names."""
        lines = (
            build_line(9.0, "upstream_limit_changed upstream=u1 per_second=2", "e-1"),
            build_line(9.5, "upstream_limit_changed upstream=u1 per_second=3", "e-2"),
            build_line(10.0, "request_given_up reason=upstreams_limited attempt=a-1"),
            build_line(10.1, "answered status=503 attempt=a-1", "e-1"),
        )
        events = self.explain("a-1", lines)["events"]
        self.assertEqual(
            [item["event"] for item in events],
            ["upstream_limit_changed", "request_given_up", "answered"],
        )

    def test_lines_of_all_instances_are_in_order(self):
        """Guards against omitting a cause that another instance logged."""
        found = self.explain("a-1", reversed(LINES))
        events = [(event["seconds"], event["event"]) for event in found["events"]]
        expected = [
            (-2.0, "store_lost"),
            (-1.0, "upstream_unlisted"),
            (0.0, "try_failed"),
            (0.2, "request_given_up"),
            (0.3, "answered"),
        ]
        self.assertEqual(events, expected)
        self.assertEqual(found["events"][1]["instance"], "entry-2")
        self.assertEqual(found["upstreams"], ["u1"])
        outcome = {"status": "504", "reason": "deadline", "seconds": "1.5"}
        self.assertEqual(found["outcome"], outcome)

    def test_quoted_values_are_parsed_whole(self):
        """Guards against messages that are truncated at a space."""
        line = parse_line(LINES[7], "a-file")
        self.assertEqual(line.fields["error"], 'a "b" c')

    def test_line_without_an_instance_belongs_to_its_file(self):
        """Guards against mixing up instances that each have their own log file."""
        line = parse_line(build_line(1.0, "started"), "entry-4")
        self.assertEqual(line.source, "entry-4")

    def test_line_of_a_daemon_that_is_not_hosted_is_found(self):
        """Guards against finding only the request ids that hosted daemons use."""
        found = self.explain("r-1", [build_line(1.0, "request id=r-1 status=200")])
        self.assertEqual(found["outcome"], {"status": "200"})

    def test_text_marks_lines_of_the_request(self):
        """Guards against output in which the lines of the request do not stand out."""
        text = format_explanation(self.explain("a-1")).splitlines()
        self.assertEqual([line[0] for line in text[1:-1]], [" ", " ", "*", "*", "*"])
        self.assertIn("outcome: reason=deadline status=504", text[-1])


class ExplainCommandTests(unittest.TestCase):
    """Tests that the command reads files or standard input."""

    def run_command(self, request_id, *files, json_output=True) -> dict:
        """Return the decoded JSON that the command prints."""
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            Commands(json=json_output).explain(request_id, *files)
        return json.loads(printed.getvalue())

    def test_files_and_standard_input_are_equivalent(self):
        """Guards against a pipe that is parsed differently from a file."""
        text = "\n".join(LINES)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry-3.log"
            path.write_text(text, encoding="utf-8")
            from_file = self.run_command("a-1", path)
        with mock.patch("sys.stdin", io.StringIO(text)):
            from_pipe = self.run_command("a-1")
        self.assertEqual(from_file["events"], from_pipe["events"])

    def test_unknown_request_raises_an_error_with_the_reason(self):
        """Guards against empty output that looks like a result."""
        with (
            mock.patch("sys.stdin", io.StringIO("\n".join(LINES))),
            self.assertRaisesRegex(CommandError, "bounded to 50 a second"),
        ):
            Commands().explain("a-2")
        with self.assertRaisesRegex(CommandError, "cannot read"):
            Commands().explain("a-1", "/nowhere/x.log")
