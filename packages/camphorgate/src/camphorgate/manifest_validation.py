"""Parses and validates a manifest, reporting every error with its path and line."""

import re
from collections.abc import Callable, Iterator
from typing import Any

import json5
import msgspec

from camphorgate.errors import ManifestError
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.manifest import Manifest
from camphorgate.registry import Registry

Rule = Callable[[Manifest], Iterator[tuple[str, str]]]

# Validation rules of a manifest by name; each yields pairs of path and message.
rules: Registry[Rule] = Registry("manifest rule")

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_ADDRESS_PATTERN = re.compile(r"[0-9a-fA-F.:\[\]]+:[0-9]{1,5}")
_RESERVED_ROUTES = ("/v1", "/healthz", "/readyz", "/metrics", "/admin")


class Problem(msgspec.Struct, frozen=True):
    """One error in a manifest; ``line`` counts from 1 and is 0 if unknown."""

    path: str
    message: str
    line: int = 0

    def __str__(self) -> str:
        location = f"line {self.line}, " if self.line else ""
        return f"{location}{self.path}: {self.message}"


def parse_manifest(text: str) -> Manifest:
    """Parse and validate a manifest in JSON with comments.

    :param text: content of the file.
    :raises ManifestError: with all problems that were found.
    """
    try:
        data = decode_text(text)
    except (ValueError, RecursionError) as error:
        line = _line_from_message(str(error))
        raise ManifestError([Problem("$", f"not JSON: {error}", line)]) from None
    return validate_manifest(data, text)


def decode_text(text: str) -> Any:
    """Decode JSON with comments.

    json5 takes over a second for 21 KB. It is therefore only used for text that is not
    plain JSON after comments and trailing commas are removed and names are quoted.

    :raises ValueError: if the text is not JSON with comments.
    """
    for candidate in (lambda: text, lambda: _to_strict_json(text)):
        try:
            return msgspec.json.decode(candidate())
        except (*DECODE_ERRORS, UnicodeEncodeError):
            continue
    return json5.loads(text)


def validate_manifest(data: Any, text: str = "") -> Manifest:
    """Validate decoded data and return the manifest.

    :param data: decoded JSON.
    :param text: source of the data, used to find the lines of errors.
    :raises ManifestError: with all problems that were found.
    """
    problems = list(_type_problems(data, Manifest, "$"))
    manifest = None
    if not problems:
        manifest = msgspec.convert(data, Manifest)
        for name in rules:
            problems += [Problem(*found) for found in rules.get(name)(manifest)]
    if problems:
        raise ManifestError([_with_line(problem, text) for problem in problems])
    return manifest


def _type_problems(data: Any, kind: Any, path: str) -> Iterator[Problem]:
    """Yield all type errors; msgspec itself stops at the first one."""
    info = msgspec.inspect.type_info(kind)
    yield from _node_problems(data, info, path)


def _node_problems(data: Any, info: Any, path: str) -> Iterator[Problem]:
    if isinstance(info, msgspec.inspect.StructType):
        yield from _struct_problems(data, info, path)
    elif isinstance(info, msgspec.inspect.VarTupleType):
        if not isinstance(data, list | tuple):
            yield Problem(path, f"expected a list, got {_json_type(data)}")
            return
        for index, item in enumerate(data):
            yield from _node_problems(item, info.item_type, f"{path}.{index}")
    else:
        yield from _scalar_problems(data, info, path)


def _struct_problems(data: Any, info: Any, path: str) -> Iterator[Problem]:
    if not isinstance(data, dict):
        yield Problem(path, f"expected an object, got {_json_type(data)}")
        return
    fields_by_name = {field.encode_name: field for field in info.fields}
    for name in data:
        if name not in fields_by_name:
            known = ", ".join(sorted(fields_by_name))
            yield Problem(f"{path}.{name}", f"unknown field; known: {known}")
    for name, field in fields_by_name.items():
        if name in data:
            yield from _node_problems(data[name], field.type, f"{path}.{name}")
        elif field.required:
            yield Problem(f"{path}.{name}", "required field is missing")


def _scalar_problems(data: Any, info: Any, path: str) -> Iterator[Problem]:
    if isinstance(info, msgspec.inspect.LiteralType):
        if data not in info.values:
            allowed = ", ".join(map(repr, info.values))
            yield Problem(path, f"must be one of {allowed}")
        return
    expected = {
        msgspec.inspect.StrType: (str, "a string"),
        msgspec.inspect.IntType: (int, "a whole number"),
        msgspec.inspect.FloatType: ((int, float), "a number"),
        msgspec.inspect.BoolType: (bool, "true or false"),
    }.get(type(info))
    if expected is None:
        return
    kind, description = expected
    is_bool = isinstance(data, bool)
    if not isinstance(data, kind) or (is_bool and kind is not bool):
        yield Problem(path, f"expected {description}, got {_json_type(data)}")
    elif isinstance(data, float) and data != data:
        yield Problem(path, "must be a number")


def _json_type(data: Any) -> str:
    names = {dict: "object", list: "list", str: "string", bool: "boolean"}
    names |= {int: "number", float: "number", type(None): "null"}
    return names.get(type(data), type(data).__name__)


@rules.register("unique_names")
def _check_unique_names(manifest: Manifest) -> Iterator[tuple[str, str]]:
    for section in ("availability_zones", "pools", "workspaces", "services", "models"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(manifest, section)):
            path = f"$.{section}.{index}.name"
            if not _NAME_PATTERN.fullmatch(item.name):
                yield path, f"{item.name!r} is not a valid name"
            if item.name in seen:
                yield path, f"{item.name!r} is declared twice"
            seen.add(item.name)


@rules.register("keys")
def _check_keys(manifest: Manifest) -> Iterator[tuple[str, str]]:
    owners_by_digest: dict[str, str] = {}
    for index, workspace in enumerate(manifest.workspaces):
        path = f"$.workspaces.{index}"
        if not 0 < workspace.weight < float("inf"):
            yield f"{path}.weight", "must be a positive number"
        for position, digest in enumerate(workspace.key_digests):
            location = f"{path}.key_digests.{position}"
            if not _DIGEST_PATTERN.fullmatch(digest):
                yield location, "must be a SHA-256 digest of 64 lower-case hex digits"
            elif owners_by_digest.setdefault(digest, workspace.name) != workspace.name:
                owner = owners_by_digest[digest]
                yield location, f"the key belongs to workspace {owner!r} already"


@rules.register("limits")
def _check_limits(manifest: Manifest) -> Iterator[tuple[str, str]]:
    for index, workspace in enumerate(manifest.workspaces):
        for name in workspace.limits.__struct_fields__:
            if not 0 <= getattr(workspace.limits, name) < float("inf"):
                yield f"$.workspaces.{index}.limits.{name}", "must not be negative"


@rules.register("references")
def _check_references(manifest: Manifest) -> Iterator[tuple[str, str]]:
    kinds_by_pool = {pool.name: pool.kind for pool in manifest.pools}
    for section, kind in (("services", "service"), ("models", "engines")):
        for index, item in enumerate(getattr(manifest, section)):
            path = f"$.{section}.{index}"
            if item.pool not in kinds_by_pool:
                yield f"{path}.pool", f"no pool is named {item.pool!r}"
            elif kinds_by_pool[item.pool] != kind:
                yield f"{path}.pool", f"pool {item.pool!r} is not of kind {kind!r}"
            if not 0 < item.deadline_seconds < float("inf"):
                yield f"{path}.deadline_seconds", "must be a positive number"


@rules.register("routes")
def _check_routes(manifest: Manifest) -> Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for index, service in enumerate(manifest.services):
        path = f"$.services.{index}.route"
        if not service.route.startswith("/") or service.route == "/":
            yield path, "must start with '/' and name a path"
        reserved = [
            route
            for route in _RESERVED_ROUTES
            if service.route == route or service.route.startswith(route + "/")
        ]
        if reserved:
            yield path, f"{reserved[0]!r} is used by the system"
        if service.route.rstrip("/") in seen:
            yield path, f"{service.route!r} is declared twice"
        seen.add(service.route.rstrip("/"))


@rules.register("models")
def _check_models(manifest: Manifest) -> Iterator[tuple[str, str]]:
    names = {model.name for model in manifest.models}
    workspaces = {workspace.name for workspace in manifest.workspaces}
    for index, model in enumerate(manifest.models):
        for position, adapter in enumerate(model.adapters):
            path = f"$.models.{index}.adapters.{position}"
            if adapter.name in names:
                yield f"{path}.name", f"{adapter.name!r} is declared twice"
            names.add(adapter.name)
            for name in adapter.workspaces:
                if name not in workspaces:
                    yield f"{path}.workspaces", f"no workspace is named {name!r}"


@rules.register("upstreams")
def _check_upstreams(manifest: Manifest) -> Iterator[tuple[str, str]]:
    zones = {zone.name for zone in manifest.availability_zones}
    seen: set[str] = set()
    for index, pool in enumerate(manifest.pools):
        for position, upstream in enumerate(pool.upstreams):
            path = f"$.pools.{index}.upstreams.{position}"
            if upstream.id in seen:
                yield f"{path}.id", f"{upstream.id!r} is declared twice"
            seen.add(upstream.id)
            if not _ADDRESS_PATTERN.fullmatch(upstream.address):
                yield f"{path}.address", "must be an IP number and a port"
            if upstream.availability_zone not in zones:
                zone = upstream.availability_zone
                yield f"{path}.availability_zone", f"no zone is named {zone!r}"
            if upstream.slots < 1:
                yield f"{path}.slots", "must be at least 1"


@rules.register("capacity")
def _check_capacity(manifest: Manifest) -> Iterator[tuple[str, str]]:
    for index, pool in enumerate(manifest.pools):
        path = f"$.pools.{index}"
        capacity = pool.capacity
        if not 0 <= capacity.cheap_share <= 1:
            yield f"{path}.capacity.cheap_share", "must lie between 0 and 1"
        if not 0 <= capacity.minimum <= capacity.maximum:
            yield f"{path}.capacity.minimum", "must lie between 0 and the maximum"
        for name in ("ordinary_cost", "cheap_cost", "provisioning_seconds"):
            if not 0 <= getattr(capacity, name) < float("inf"):
                yield f"{path}.capacity.{name}", "must not be negative"
        for name in ("prefill_tokens_per_second", "decode_tokens_per_second"):
            if not 0 < getattr(pool, name) < float("inf"):
                yield f"{path}.{name}", "must be a positive number"
    if manifest.weight_store.loads_per_minute <= 0:
        yield "$.weight_store.loads_per_minute", "must be a positive number"


def _line_from_message(message: str) -> int:
    found = re.search(r":(\d+)", message)
    return int(found.group(1)) if found else 0


def _with_line(problem: Problem, text: str) -> Problem:
    if problem.line or not text:
        return problem
    return Problem(problem.path, problem.message, _line_of_path(text, problem.path))


def _line_of_path(text: str, path: str) -> int:
    """Return the line on which the value of a path begins, 0 if not found.

    If the text lacks the last part of the path, the line of the enclosing object is
    returned.

    :param path: dotted path with list indices, such as ``$.pools.0.name``.
    """
    lines_by_path = _LineScanner(text).scan()
    while path:
        if path in lines_by_path:
            return lines_by_path[path]
        path = path.rpartition(".")[0]
    return 0


_TOKEN_PATTERN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|/\*.*?\*/)
      | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
      | (?P<punctuation>[{}\[\],:])
      | (?P<literal>[^\s{}\[\],:"'/]+)""",
    re.VERBOSE | re.DOTALL,
)


_IDENTIFIER_PATTERN = re.compile(r"[A-Za-z_$][A-Za-z0-9_$]*")


def _to_strict_json(text: str) -> str:
    """Remove comments and trailing commas, and quote the names of members.

    The result is not valid JSON if the text uses any other syntax of JSON5.
    """
    tokens: list[str] = []
    end = 0
    for match in _TOKEN_PATTERN.finditer(text):
        if match.start() != end:
            return ""
        end = match.end()
        token = match.group()
        if match.lastgroup == "skip":
            continue
        trailing = token in ("}", "]") and tokens[-1:] == [","]
        if trailing and tokens[-2:-1] not in (["{"], ["["]):
            tokens.pop()
        elif token == ":" and tokens and _IDENTIFIER_PATTERN.fullmatch(tokens[-1]):
            tokens[-1] = f'"{tokens[-1]}"'
        tokens.append(token)
    return " ".join(tokens) if end == len(text) else ""


class _LineScanner:
    """Finds the line of each value in valid JSON with comments."""

    __slots__ = ("_tokens", "_position", "_lines_by_path")

    def __init__(self, text: str) -> None:
        self._tokens = self._tokenize(text)
        self._position = 0
        self._lines_by_path: dict[str, int] = {}

    def scan(self) -> dict[str, int]:
        if self._tokens:
            self._scan_value("$")
        return self._lines_by_path

    @staticmethod
    def _tokenize(text: str) -> list[tuple[str, int]]:
        tokens = []
        line = 1
        for match in _TOKEN_PATTERN.finditer(text):
            if match.lastgroup != "skip":
                tokens.append((match.group(), line))
            line += match.group().count("\n")
        return tokens

    def _peek(self) -> str:
        if self._position < len(self._tokens):
            return self._tokens[self._position][0]
        return ""

    def _scan_value(self, path: str) -> None:
        token, line = self._tokens[self._position]
        self._lines_by_path[path] = line
        self._position += 1
        if token == "{":
            self._scan_object(path)
        elif token == "[":
            self._scan_array(path)

    def _scan_object(self, path: str) -> None:
        while self._peek() not in ("}", ""):
            name, line = self._tokens[self._position]
            member_path = f"{path}.{name.strip(chr(34) + chr(39))}"
            self._position += 2
            self._scan_value(member_path)
            self._lines_by_path[member_path] = line
            self._skip_comma()
        self._position += 1

    def _scan_array(self, path: str) -> None:
        index = 0
        while self._peek() not in ("]", ""):
            self._scan_value(f"{path}.{index}")
            index += 1
            self._skip_comma()
        self._position += 1

    def _skip_comma(self) -> None:
        if self._peek() == ",":
            self._position += 1
