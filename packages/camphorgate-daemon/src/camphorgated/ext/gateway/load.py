"""Parses load reports of upstreams: the X-Load header and /control/load bodies."""

from typing import Any

import msgspec

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.requests.request_state import LoadReport

_FIELDS_BY_NAME = {
    "running": "running",
    "waiting": "waiting",
    "slots": "slots",
    "free_cache": "free_cache",
    "prefill_tps": "prefill_tokens_per_second",
    "decode_tps": "decode_tokens_per_second",
    "leaving": "leaving_seconds",
}
_WHOLE_NUMBERS = frozenset({"running", "waiting", "slots"})


def parse_load_header(value: bytes, now: float) -> LoadReport | None:
    """Return the report of an X-Load header, ``None`` if it is invalid."""
    pairs = {}
    for part in value.decode("latin-1").split(";"):
        name, _, number = part.partition("=")
        pairs[name.strip()] = number
    return _build_report(pairs, now)


def parse_load_body(body: bytes, now: float) -> LoadReport | None:
    """Return the report of GET /control/load, ``None`` if it is invalid."""
    try:
        data = msgspec.json.decode(body)
    except DECODE_ERRORS:
        return None
    return _build_report(data, now) if isinstance(data, dict) else None


def _build_report(pairs: dict[str, Any], now: float) -> LoadReport | None:
    fields = {}
    for name, raw in pairs.items():
        field = _FIELDS_BY_NAME.get(name)
        if field is None:
            continue
        try:
            value = float(raw)
        except (TypeError, ValueError):
            return None
        if not 0 <= value < float("inf"):
            return None
        fields[field] = int(value) if name in _WHOLE_NUMBERS else value
    return LoadReport(observed_at=now, **fields) if fields else None
