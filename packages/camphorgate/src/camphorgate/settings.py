"""Settings of a daemon, read from JSON with comments and validated before start."""

import re
from pathlib import Path

import json5
import msgspec

from camphorgate.errors import SettingsError


class KvSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connection to the key-value service of the platform.

    ``calls_per_second`` is the rate limit of this process; a watch counts as one call.
    """

    addresses: tuple[str, ...]
    calls_per_second: float = 20.0
    timeout_seconds: float = 1.0


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the other interfaces of the platform."""

    list_address: str
    capacity_address: str
    usage_address: str
    list_lag_seconds: float = 5.0


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests, queues and waiting times of callers."""

    header_bytes: int = 32768
    body_bytes: int = 33554432
    queued_requests: int = 2000
    queue_seconds: float = 10.0
    silence_seconds: float = 5.0
    connect_seconds: float = 1.0


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and timeouts of the control protocols, in seconds.

    ``usage_window_seconds`` takes effect only at the first start of a system, which
    writes it to KV; later instances use the stored value.
    """

    beat_seconds: float = 0.5
    freshness_seconds: float = 3.0
    lease_seconds: float = 10.0
    lease_margin_seconds: float = 2.0
    order_drain_seconds: float = 15.0
    stop_grace_seconds: float = 120.0
    usage_window_seconds: int = 60


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one daemon; addresses are ``host:port`` with IP addresses."""

    instance_id: str
    availability_zone: str
    region: str
    caller_address: str
    admin_address: str
    peer_address: str
    kv: KvSettings
    platform: PlatformSettings
    peers: tuple[str, ...] = ()
    advertised_peer_address: str = ""
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    extensions: tuple[str, ...] = ()
    log_level: str = "INFO"
    seed: int = 0


# An IP address or a name: labels of at most 63 characters (RFC 1035).
_HOST = re.compile(
    r"[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*(%\w{1,15})?"
    r"|(?=.{1,253}\Z)[\w-]{1,63}(\.[\w-]{1,63})*\.?",
    re.ASCII,
)

_ADDRESS_FIELDS = ("caller_address", "admin_address", "peer_address")


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: if the file cannot be read, or a field is unknown or
        invalid; the message contains the path of the field.
    """
    return validate_settings(load_settings_data(path), path)


def load_settings_data(path: str) -> object:
    """Read a settings file without validating its fields.

    :raises SettingsError: if the file cannot be read or is not JSON with comments.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read settings {path}: {error}") from None
    try:
        return json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"settings {path} are not JSON: {error}") from None


def validate_settings(data: object, path: str = "settings") -> Settings:
    """Validate decoded settings.

    :param path: file name for error messages.
    :raises SettingsError: on the first unknown or invalid field.
    """
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings {path}: {error}") from None
    for name in _ADDRESS_FIELDS:
        try:
            split_address(getattr(settings, name))
        except ValueError as error:
            raise SettingsError(f"settings {path}: {error} - at `$.{name}`") from None
    if not settings.kv.addresses:
        message = "at least one address is required - at `$.kv.addresses`"
        raise SettingsError(f"settings {path}: {message}")
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into its parts.

    :raises ValueError: if the port is missing or out of range, or if the host can be
        neither an IP address nor a name.
    """
    host, separator, port = address.rpartition(":")
    valid_port = len(port) <= 5 and port.isascii() and port.isdigit()
    if not separator or not valid_port or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    host = host.strip("[]")
    if not _HOST.fullmatch(host):
        raise ValueError(f"{address!r} does not name a host")
    return host, int(port)
