"""The settings file that the platform gives to each process."""

from __future__ import annotations

import json
import os
from contextlib import suppress
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from ..errors.platform import FieldError
from ..errors.settings import DocumentError, FileUnreadableError
from ..protocol.json_fields import MALFORMED, address_of, count_of, number_of, reason_of
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
        document = json.loads(path.read_bytes())
        return _settings(document)
    except OSError as error:
        raise FileUnreadableError(file=path, reason=error) from error
    except MALFORMED as error:
        raise DocumentError(file=str(path), problems=[reason_of(error)]) from error


def _settings(document: dict[str, Any]) -> NodeSettings:
    listen, bounds = document["Listen"], document["Bounds"]
    seeds, unread_seeds = _seeds(document["Seeds"])
    return NodeSettings(
        name=document["NodeName"],
        data_centre=document["Zone"],
        data_centres=frozenset(document["Zones"]),
        host=document["IpAddress"],
        internal_port=count_of(document["InternalPorts"][0]),
        seeds=seeds,
        unread_seeds=unread_seeds,
        may_form=document["Bootstrap"],
        tolerated_vms=count_of(document["Tolerance"]["Machines"]),
        stop_seconds=number_of(bounds["GraceS"]),
        announcement_seconds=number_of(document["HeartbeatIntervalMs"]) / MILLISECONDS,
        data_folder=document.get("DataDirectory") or "",
        packets=_address(listen, "DatagramAddress"),
        readiness=_address(listen, "Ready"),
        control=_address(listen, "Control"),
        link_bytes_per_second=_link_rate(document.get("Limits", {})),
    )


def _seeds(texts: list[Any]) -> tuple[tuple[str, ...], int]:
    """Return the hosts of seeds, and count those that cannot be read.

    :raises FieldError: none can.
    """
    hosts = []
    for text in texts:
        with suppress(FieldError):
            hosts.append(address_of(text).host)
    if texts and not hosts:
        raise FieldError(value=len(texts), reason="no seed can be read")
    return tuple(hosts), len(texts) - len(hosts)


def _link_rate(limits: dict[str, Any]) -> float:
    """Return the rate of the VM's own link in bytes a second.

    :raises FieldError: it is no positive number.
    """
    if limits.get("LinkMbps") is None:
        return inf
    megabits = number_of(limits["LinkMbps"])
    if not megabits:
        raise FieldError(value=megabits, reason="no rate of a link")
    return megabits * BYTES_PER_MEGABIT


def _address(listen: dict[str, Any], key: str) -> Address | None:
    return address_of(listen[key]) if listen.get(key) else None


def required(address: Address | None, key: str) -> Address:
    """Return an address that the role cannot do without.

    :raises FieldError: the settings do not have it.
    """
    if address is None:
        raise FieldError(value=key, reason="missing in the settings of this role")
    return address
