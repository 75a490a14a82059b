"""Settings of a daemon that a platform hosts: JSON with comments, fully validated."""

from typing import Annotated

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
    ``share_frozen_figures`` sends the figures of usage windows to peers before they are
    reported, at a store that states its era.
    """

    bound_calls: bool = True
    share_frozen_figures: bool = True


class DutySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the platform checks of the calls of a duty's holder.

    Without ``require_fence`` it takes calls with any fencing number.
    """

    require_fence: bool = True


class SpeedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the speed of upstreams is known.

    ``learn`` tells whether it is learned from responses and from peers; otherwise start
    values apply to all upstreams. ``use_reported_load`` tells whether the load and the
    momentary speed that upstreams report are used.
    """

    learn: bool = True
    use_reported_load: bool = True


class RoomSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Loans of slots of upstreams that report their load.

    Without a reply of the owner within ``reply_seconds`` an instance chooses itself.
    """

    enabled: bool = True
    reply_seconds: float = 0.025


class OrderSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Order of requests that wait, by rank and loss or by rank and arrival alone."""

    by_loss: bool = True


class PaceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whether few instances at first send to upstreams that have just started."""

    enabled: bool = True


class HostedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one hosted daemon; addresses are ``host:port``.

    ``peer_address`` receives gRPC calls and ``gossip_address`` datagrams from other
    instances. ``memory_mb`` is the memory of the machine in MB of 1,000,000 bytes; 0
    means what ``/proc/meminfo`` names.
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
    duty: DutySettings = DutySettings()
    room: RoomSettings = RoomSettings()
    order: OrderSettings = OrderSettings()
    pace: PaceSettings = PaceSettings()
    duties: tuple[str, ...] = ()
    log_level: str = "INFO"
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0


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
