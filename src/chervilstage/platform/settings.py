"""The settings file that the platform gives to each process."""

from __future__ import annotations

import os
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from ..errors.platform import FieldError
from ..errors.settings import DocumentError, FileUnreadableError
from ..protocol.json_fields import (
    MALFORMED,
    address_of,
    bool_of,
    count_of,
    each,
    each_readable,
    load_json,
    number_of,
    object_of,
    read,
    reason_of,
    text_of,
)
from ..state.link import BYTES_PER_MEGABIT
from ..state.types import Address

SETTINGS_VARIABLE = "CHERVILSTAGE_NODE_FILE"
MS_PER_SECOND = 1000.0


class NodeSettings(NamedTuple):
    """Settings that the platform gives to a process.

    ``seeds`` are the hosts of control replicas; ``unreadable_seeds`` counts the entries
    of the list that cannot be decoded. ``internal_port`` is the first port for messages
    between chervilstage processes; the two roles of a VM use different ports.
    ``can_bootstrap`` is true only when the whole system starts for the first time.
    ``tolerated_vms`` is how many VMs with a disk may be lost at once. ``stop_seconds``
    is the time from SIGTERM to SIGKILL. Addresses that the role does not serve are
    None. ``link_bytes_per_second`` is infinite if the settings give no link rate.
    """

    name: str
    data_centre: str
    data_centres: frozenset[str]
    host: str
    internal_port: int
    seeds: tuple[str, ...]
    unreadable_seeds: int
    can_bootstrap: bool
    tolerated_vms: int
    stop_seconds: float
    announcement_seconds: float
    data_folder: str
    datagram_address: Address | None
    readiness_address: Address | None
    control_address: Address | None
    link_bytes_per_second: float


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, "/etc/chervilstage/settings.json"))


def read_settings(path: Path) -> NodeSettings:
    """Read the settings file.

    :raises FileUnreadableError: the file cannot be read.
    :raises DocumentError: fields are missing or have the wrong type.
    """
    try:
        return _decode_settings(object_of(load_json(path.read_bytes())))
    except OSError as error:
        raise FileUnreadableError(file=path, reason=error) from error
    except MALFORMED as error:
        raise DocumentError(file=str(path), problems=[reason_of(error)]) from error


def _decode_settings(document: dict[str, Any]) -> NodeSettings:
    listen = read(document, "Listen", object_of)
    tolerance = read(document, "Tolerance", object_of)
    bounds = read(document, "Bounds", object_of)
    interval_ms = read(document, "HeartbeatIntervalMs", number_of)
    seeds, unreadable_seeds = read(document, "Seeds", each_readable(address_of))
    return NodeSettings(
        name=read(document, "NodeName", text_of),
        data_centre=read(document, "Zone", text_of),
        data_centres=frozenset(read(document, "Zones", object_of)),
        host=read(document, "IpAddress", text_of),
        internal_port=read(document, "InternalPorts", _decode_first_port),
        seeds=tuple(seed.host for seed in seeds),
        unreadable_seeds=unreadable_seeds,
        can_bootstrap=read(document, "Bootstrap", bool_of),
        tolerated_vms=read(tolerance, "Machines", count_of),
        stop_seconds=read(bounds, "GraceS", number_of),
        announcement_seconds=interval_ms / MS_PER_SECOND,
        data_folder=read(document, "DataDirectory", _decode_folder, default=None),
        datagram_address=_optional_address(listen, "DatagramAddress"),
        readiness_address=_optional_address(listen, "Ready"),
        control_address=_optional_address(listen, "Control"),
        link_bytes_per_second=_decode_link_rate(
            read(document, "Limits", object_of, default={})
        ),
    )


def _decode_first_port(value: Any) -> int:
    ports = each(count_of)(value)
    if not ports:
        raise FieldError(reason="the list of ports is empty")
    return ports[0]


def _decode_folder(value: Any) -> str:
    return "" if value is None else text_of(value)


def _decode_link_rate(limits: dict[str, Any]) -> float:
    """Return the rate of the VM's own link in bytes per second.

    :raises FieldError: the rate is not a positive number.
    """
    if limits.get("LinkMbps") is None:
        return inf
    megabits = read(limits, "LinkMbps", number_of)
    if not megabits:
        raise FieldError(field="LinkMbps", reason="the link rate must not be 0")
    return megabits * BYTES_PER_MEGABIT


def _optional_address(listen: dict[str, Any], key: str) -> Address | None:
    return read(listen, key, address_of) if listen.get(key) else None


def require_address(address: Address | None, key: str) -> Address:
    """Return an address that the role requires.

    :raises FieldError: the settings do not contain it.
    """
    if address is None:
        raise FieldError(field=f"Listen.{key}", reason="required for this role")
    return address
