"""Settings of a daemon that a platform hosts: JSON with comments, fully validated."""

import msgspec

from camphorgate.errors import SettingsError
from camphorgate.settings import split_address


class BudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fleet's retry budget of a service in a sliding window."""

    ratio: float = 0.2
    slack: float = 50.0
    window_seconds: float = 10.0


class TimeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits of the platform's rules, in seconds."""

    lease_seconds: float = 3.0
    grace_seconds: float = 8.0
    usage_window_seconds: float = 5.0
    usage_late_seconds: float = 10.0


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the platform's store is used.

    ``bound_calls`` limits the calls to a store that refuses them or does not answer.
    """

    bound_calls: bool = True


class SpeedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the speed of upstreams is known.

    ``learn`` tells whether it is learned from responses and from peers; otherwise start
    values apply to all upstreams. ``use_reported_load`` tells whether the load and the
    momentary speed that upstreams report are used.
    """

    learn: bool = True
    use_reported_load: bool = True


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many upstreams the fleet duty orders.

    ``size_by_load`` orders as many engines as the load needs in place of the declared
    maximum.
    """

    size_by_load: bool = False


class HostedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one hosted daemon; addresses are ``host:port``.

    ``peer_address`` receives gRPC calls and ``gossip_address`` datagrams from other
    instances.
    """

    instance_id: str
    availability_zone: str
    adapter: str
    caller_address: str
    ready_address: str
    peer_address: str
    gossip_address: str
    store_address: str
    operations_address: str = ""
    operator_address: str = ""
    seeds: tuple[str, ...] = ()
    budget: BudgetSettings = BudgetSettings()
    times: TimeSettings = TimeSettings()
    store: StoreSettings = StoreSettings()
    speed: SpeedSettings = SpeedSettings()
    duties: tuple[str, ...] = ()
    fleet: FleetSettings = FleetSettings()
    log_level: str = "INFO"


_ADDRESS_FIELDS = (
    "caller_address",
    "ready_address",
    "peer_address",
    "gossip_address",
    "store_address",
)
_OPTIONAL_FIELDS = ("operations_address", "operator_address")


def validate_hosted_settings(data: object, path: str) -> HostedSettings:
    """Validate decoded settings.

    :param path: name of the file, for error messages.
    :raises SettingsError: on the first unknown or invalid field.
    """
    try:
        settings = msgspec.convert(data, HostedSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"settings {path}: {error}") from None
    names = [*_ADDRESS_FIELDS]
    names += [name for name in _OPTIONAL_FIELDS if getattr(settings, name)]
    for name in names:
        try:
            split_address(getattr(settings, name))
        except ValueError as error:
            raise SettingsError(f"settings {path}: {error} - at `$.{name}`") from None
    return settings
