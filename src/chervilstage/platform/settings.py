"""The settings file that the platform gives to each process."""

from __future__ import annotations

import os
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from ..errors.platform import FieldError
from ..errors.settings import DocumentError, FileUnreadableError
from ..protocol.json_fields import (
    DOCUMENT_ERRORS,
    each_item,
    each_valid_item,
    error_reason,
    load_json,
    read_field,
    require_address,
    require_bool,
    require_count,
    require_number,
    require_object,
    require_text,
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
        document = load_json(path.read_bytes(), allows_nan=True)
        return _decode_settings(require_object(document))
    except OSError as error:
        raise FileUnreadableError(file=path, reason=error) from error
    except DOCUMENT_ERRORS as error:
        raise DocumentError(file=str(path), problems=[error_reason(error)]) from error


def _decode_settings(document: dict[str, Any]) -> NodeSettings:
    listen = read_field(document, "Listen", require_object)
    tolerance = read_field(document, "Tolerance", require_object)
    bounds = read_field(document, "Bounds", require_object)
    interval_ms = read_field(document, "HeartbeatIntervalMs", require_number)
    seeds, unreadable_seeds = read_field(
        document, "Seeds", each_valid_item(require_address)
    )
    return NodeSettings(
        name=read_field(document, "NodeName", require_text),
        data_centre=read_field(document, "Zone", require_text),
        data_centres=frozenset(read_field(document, "Zones", require_object)),
        host=read_field(document, "IpAddress", require_text),
        internal_port=read_field(document, "InternalPorts", _decode_first_port),
        seeds=tuple(seed.host for seed in seeds),
        unreadable_seeds=unreadable_seeds,
        can_bootstrap=read_field(document, "Bootstrap", require_bool),
        tolerated_vms=read_field(tolerance, "Machines", require_count),
        stop_seconds=read_field(bounds, "GraceS", require_number),
        announcement_seconds=interval_ms / MS_PER_SECOND,
        data_folder=read_field(document, "DataDirectory", _decode_folder, default=None),
        datagram_address=_optional_address(listen, "DatagramAddress"),
        readiness_address=_optional_address(listen, "Ready"),
        control_address=_optional_address(listen, "Control"),
        link_bytes_per_second=_decode_link_rate(
            read_field(document, "Limits", require_object, default={})
        ),
    )


def _decode_first_port(value: Any) -> int:
    ports = each_item(require_count)(value)
    if not ports:
        raise FieldError(reason="the list of ports is empty")
    return ports[0]


def _decode_folder(value: Any) -> str:
    return "" if value is None else require_text(value)


def _decode_link_rate(limits: dict[str, Any]) -> float:
    """Return the rate of the VM's own link in bytes per second.

    :raises FieldError: the rate is not a positive number.
    """
    if limits.get("LinkMbps") is None:
        return inf
    megabits = read_field(limits, "LinkMbps", require_number)
    if not megabits:
        raise FieldError(field="LinkMbps", reason="the link rate must not be 0")
    return megabits * BYTES_PER_MEGABIT


def _optional_address(listen: dict[str, Any], key: str) -> Address | None:
    return read_field(listen, key, require_address) if listen.get(key) else None


def require_listen_address(address: Address | None, key: str) -> Address:
    """Return an address that the role requires.

    :raises FieldError: the settings do not contain it.
    """
    if address is None:
        raise FieldError(field=f"Listen.{key}", reason="required for this role")
    return address
