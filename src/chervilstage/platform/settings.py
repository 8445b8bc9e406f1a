"""The settings file that the platform gives to each process."""

from __future__ import annotations

import json
import os
from math import inf
from pathlib import Path
from socket import inet_aton
from typing import Any, NamedTuple

from ..errors import ChervilstageError
from ..errors.platform import FieldError
from ..errors.settings import DocumentError, FileUnreadableError
from ..protocol.json_fields import number_of
from ..state.types import Address

SETTINGS_VARIABLE = "CHERVILSTAGE_NODE_FILE"
MILLISECONDS = 1000.0
BYTES_PER_MEGABIT = 125_000
HIGHEST_PORT = 65_535


class NodeSettings(NamedTuple):
    """What the platform says to a process.

    ``seeds`` are hosts of control replicas. ``internal_port`` is the first port for
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
    except (
        ChervilstageError,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
    ) as error:
        problem = f"{type(error).__name__}: {error}"
        raise DocumentError(file=str(path), problems=[problem]) from error


def parse_address(text: str) -> Address:
    """Return the address of ``HOST:PORT``.

    :raises FieldError: the text is no IPv4 address with a port.
    """
    host, _, port = text.rpartition(":")
    try:
        inet_aton(host)
        number = int(port)
    except (OSError, ValueError) as error:
        raise FieldError(value=text, reason="no address with a port") from error
    if not 0 < number <= HIGHEST_PORT:
        raise FieldError(value=text, reason="no such port")
    return Address(host=host, port=number)


def _settings(document: dict[str, Any]) -> NodeSettings:
    listen, bounds = document["Listen"], document["Bounds"]
    return NodeSettings(
        name=document["NodeName"],
        data_centre=document["Zone"],
        data_centres=frozenset(document["Zones"]),
        host=document["IpAddress"],
        internal_port=document["InternalPorts"][0],
        seeds=tuple(parse_address(seed).host for seed in document["Seeds"]),
        may_form=document["Bootstrap"],
        tolerated_vms=document["Tolerance"]["Machines"],
        stop_seconds=bounds["GraceS"],
        announcement_seconds=document["HeartbeatIntervalMs"] / MILLISECONDS,
        data_folder=document.get("DataDirectory") or "",
        packets=_address(listen, "DatagramAddress"),
        readiness=_address(listen, "Ready"),
        control=_address(listen, "Control"),
        link_bytes_per_second=_link_rate(document.get("Limits", {})),
    )


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
    return parse_address(listen[key]) if listen.get(key) else None


def required(address: Address | None, key: str) -> Address:
    """Return an address that the role cannot do without.

    :raises FieldError: the settings do not have it.
    """
    if address is None:
        raise FieldError(value=key, reason="missing in the settings of this role")
    return address
