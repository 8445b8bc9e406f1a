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
MILLISECONDS = 1000.0


class NodeSettings(NamedTuple):
    """What the platform says to a process.

    ``seeds`` are hosts of control replicas, ``unread_seeds`` counts those that cannot
    be read. ``internal_port`` is the first port for
    messages between our processes; the two roles of a VM use different ones.
    ``may_form`` is true only when the whole system starts for the first time.
    ``tolerated_vms`` is how many VMs with a disk may be lost at once. ``stop_seconds``
    is the time from SIGTERM to SIGKILL. Addresses that the role does not serve are
    None. ``link_bytes_per_second`` is infinite if the rate of the link is not told.
    """

    name: str
    data_centre: str
    data_centres: frozenset[str]
    host: str
    internal_port: int
    seeds: tuple[str, ...]
    unread_seeds: int
    may_form: bool
    tolerated_vms: int
    stop_seconds: float
    announcement_seconds: float
    data_folder: str
    packets: Address | None
    readiness: Address | None
    control: Address | None
    link_bytes_per_second: float


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, "/etc/chervilstage/settings.json"))


def read_settings(path: Path) -> NodeSettings:
    """Read the settings file.

    :raises FileUnreadableError: the file cannot be read.
    :raises DocumentError: fields are missing or of another type.
    """
    try:
        return _settings(object_of(load_json(path.read_bytes())))
    except OSError as error:
        raise FileUnreadableError(file=path, reason=error) from error
    except MALFORMED as error:
        raise DocumentError(file=str(path), problems=[reason_of(error)]) from error


def _settings(document: dict[str, Any]) -> NodeSettings:
    listen = read(document, "Listen", object_of)
    tolerance = read(document, "Tolerance", object_of)
    bounds = read(document, "Bounds", object_of)
    interval_ms = read(document, "HeartbeatIntervalMs", number_of)
    seeds, unread_seeds = read(document, "Seeds", each_readable(address_of))
    return NodeSettings(
        name=read(document, "NodeName", text_of),
        data_centre=read(document, "Zone", text_of),
        data_centres=frozenset(read(document, "Zones", object_of)),
        host=read(document, "IpAddress", text_of),
        internal_port=read(document, "InternalPorts", _first_port),
        seeds=tuple(seed.host for seed in seeds),
        unread_seeds=unread_seeds,
        may_form=read(document, "Bootstrap", bool_of),
        tolerated_vms=read(tolerance, "Machines", count_of),
        stop_seconds=read(bounds, "GraceS", number_of),
        announcement_seconds=interval_ms / MILLISECONDS,
        data_folder=read(document, "DataDirectory", _folder, default=None),
        packets=_address(listen, "DatagramAddress"),
        readiness=_address(listen, "Ready"),
        control=_address(listen, "Control"),
        link_bytes_per_second=_link_rate(
            read(document, "Limits", object_of, default={})
        ),
    )


def _first_port(value: Any) -> int:
    ports = each(count_of)(value)
    if not ports:
        raise FieldError(reason="no port")
    return ports[0]


def _folder(value: Any) -> str:
    return "" if value is None else text_of(value)


def _link_rate(limits: dict[str, Any]) -> float:
    """Return the rate of the VM's own link in bytes a second.

    :raises FieldError: it is no positive number.
    """
    if limits.get("LinkMbps") is None:
        return inf
    megabits = read(limits, "LinkMbps", number_of)
    if not megabits:
        raise FieldError(field="LinkMbps", reason="no rate of a link")
    return megabits * BYTES_PER_MEGABIT


def _address(listen: dict[str, Any], key: str) -> Address | None:
    return read(listen, key, address_of) if listen.get(key) else None


def required(address: Address | None, key: str) -> Address:
    """Return an address that the role cannot do without.

    :raises FieldError: the settings do not have it.
    """
    if address is None:
        raise FieldError(field=f"Listen.{key}", reason="missing for this role")
    return address
