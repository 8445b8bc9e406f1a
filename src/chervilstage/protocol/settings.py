"""The settings files of the daemons."""

from __future__ import annotations

from math import inf
from pathlib import Path
from typing import Annotated, Any, Literal, NotRequired

from pydantic import ConfigDict, Field, StringConstraints, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..state.link import BYTES_PER_MEGABIT
from ..state.types import Address, Peer
from .documents import Name, Port
from .key_file import read_key_file
from .validation import read_toml, validate

Host = Annotated[str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
LogLevel = Literal["debug", "info", "warning", "error"]
STRICT = ConfigDict(extra="forbid")


@with_config(STRICT)
class PeerSettings(TypedDict):
    """Another entry of the group, or a control replica."""

    name: Name
    data_centre: Name
    host: Host
    port: Port


@with_config(STRICT)
class EntrySettings(TypedDict):
    """Settings of ``chervilstage-entry``.

    ``peer_port`` is used for datagrams and for frames. ``platform_port`` receives
    announcements of upstreams. ``drain_seconds`` limits a planned stop. ``link_mbps``
    is the rate of the VM's own link in megabits per second.
    """

    name: Name
    data_centre: Name
    host: Host
    peer_port: Port
    platform_port: Port
    metrics_port: Port
    key_file: str
    peers: NotRequired[list[PeerSettings]]
    replicas: NotRequired[list[PeerSettings]]
    drain_seconds: NotRequired[Annotated[float, Field(gt=0)]]
    link_mbps: NotRequired[Annotated[float, Field(gt=0)]]
    log_level: NotRequired[LogLevel]


@with_config(STRICT)
class ControlSettings(TypedDict):
    """Settings of ``chervilstage-control``.

    ``port`` is for frames of entries and replicas, ``operator_port`` for operators.
    ``replicas`` lists all replicas, this one included.
    """

    name: Name
    data_centre: Name
    host: Host
    port: Port
    operator_port: Port
    metrics_port: Port
    data_folder: str
    key_file: str
    operator_key_file: str
    tls_certificate_file: NotRequired[str]
    tls_key_file: NotRequired[str]
    replicas: NotRequired[list[PeerSettings]]
    log_level: NotRequired[LogLevel]


ENTRY = TypeAdapter(EntrySettings)
CONTROL = TypeAdapter(ControlSettings)


def read_entry_settings(path: Path) -> EntrySettings:
    """Read the settings of an entry.

    :raises DocumentError: the file violates the schema.
    """
    settings: EntrySettings = _read_settings(ENTRY, path)
    return settings


def read_control_settings(path: Path) -> ControlSettings:
    """Read the settings of a control replica.

    :raises DocumentError: the file violates the schema.
    """
    settings: ControlSettings = _read_settings(CONTROL, path)
    return settings


def read_key(settings_path: Path, name: str) -> bytes:
    """Read a key file; a relative name is relative to the settings file.

    :raises FileUnreadableError: the file cannot be read.
    :raises KeyFileError: the key is too short.
    """
    return read_key_file(settings_path.parent / name)


def link_rate(settings: EntrySettings) -> float:
    """Return the rate of an entry's link in bytes per second, infinite if not set."""
    return settings.get("link_mbps", inf) * BYTES_PER_MEGABIT


def peers_from_settings(settings: list[PeerSettings]) -> list[Peer]:
    """Return the peers that a list of settings describes."""
    return [
        Peer(
            name=item["name"],
            data_centre=item["data_centre"],
            address=Address(host=item["host"], port=item["port"]),
        )
        for item in settings
    ]


def _read_settings(adapter: TypeAdapter[Any], path: Path) -> Any:
    return validate(adapter, read_toml(path), str(path))
