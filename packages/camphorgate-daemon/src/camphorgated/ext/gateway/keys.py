"""Finds the caller's API key, and removes every form of it before dispatch."""

from urllib.parse import unquote_plus

from camphorgated.ext.gateway.errors import GatewayError

Headers = list[tuple[bytes, bytes]]

_KEY_NAME = "api_key"
_KEY_HEADERS = frozenset({b"authorization", b"proxy-authorization", b"x-api-key"})
_BEARER = b"bearer "


def find_key(headers: Headers) -> str:
    """Return the API key of a request, an empty string without one.

    :param headers: names in lower case.
    :raises GatewayError: if the headers carry two different keys.
    """
    found = ""
    for name, value in headers:
        if name == b"authorization" and value[:7].lower() == _BEARER:
            key = value[7:].strip().decode("latin-1")
        elif name == b"x-api-key":
            key = value.strip().decode("latin-1")
        else:
            continue
        if found and key != found:
            raise GatewayError("bad_request", "two different keys in one request")
        found = key
    return found


def is_key_header(name: bytes) -> bool:
    """Return whether a header may carry an API key."""
    return name in _KEY_HEADERS


def strip_query(query: bytes) -> bytes:
    """Remove the API key's parameter in any case and percent-encoding."""
    if not query:
        return query
    kept = [part for part in query.split(b"&") if not _names_key(part)]
    return b"&".join(kept)


def strip_cookie(value: bytes) -> bytes:
    """Remove the API key's cookie from a Cookie header."""
    parts = [part.strip() for part in value.split(b";")]
    return b"; ".join(part for part in parts if part and not _names_key(part))


def _names_key(pair: bytes) -> bool:
    name = unquote_plus(pair.partition(b"=")[0].decode("latin-1"))
    return name.strip().lower() == _KEY_NAME
