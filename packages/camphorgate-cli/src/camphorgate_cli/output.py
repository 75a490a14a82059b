"""Formats the daemon's answers as text."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Any


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Format rows as a table with headers and aligned columns."""
    cells = [list(headers)] + [[_format_cell(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_problems(problems: list[dict[str, Any]], path: str) -> str:
    """Format each problem of a manifest as ``file:line: path: message``."""
    return "\n".join(
        f"{path}:{problem.get('line', 0)}: {problem['path']}: {problem['message']}"
        for problem in problems
    )


def format_tree(value: Any, indent: int = 0) -> str:
    """Format nested data as indented lines."""
    indentation = "  " * indent
    if isinstance(value, dict):
        return "\n".join(_format_entry(k, v, indent) for k, v in value.items())
    if isinstance(value, list):
        if value and all(isinstance(item, dict) for item in value):
            table = _format_items(value)
            return "\n".join(indentation + line for line in table.splitlines())
        return "\n".join(f"{indentation}- {_format_cell(item)}" for item in value)
    return indentation + _format_cell(value)


def format_duration(seconds: float) -> str:
    """Format a duration as ``0:02:05``, or ``3.2 s`` below a minute."""
    if seconds < 60:
        return f"{seconds:.1f} s"
    return str(timedelta(seconds=round(seconds)))


def _format_entry(name: str, value: Any, indent: int) -> str:
    indentation = "  " * indent
    if isinstance(value, dict | list) and value:
        return f"{indentation}{name}:\n{format_tree(value, indent + 1)}"
    return f"{indentation}{name}: {_format_cell(value)}"


def _format_items(items: list[dict[str, Any]]) -> str:
    headers = list(dict.fromkeys(name for item in items for name in item))
    return format_table(
        headers, [[item.get(name) for name in headers] for item in items]
    )


def _format_cell(value: Any) -> str:
    if value is None or value == {} or value == []:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list):
        return ",".join(_format_cell(item) for item in value)
    if isinstance(value, dict):
        return " ".join(f"{name}={_format_cell(item)}" for name, item in value.items())
    return str(value)
