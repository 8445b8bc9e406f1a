"""The file in which a control replica stores the upstreams that it knows."""

from __future__ import annotations

from pathlib import Path

from chervilstage.state.upstream_feed import FeedItem
from chervilstage.transport.upstream_store import FILE_NAME, UpstreamStore
from testing.support.token_relays import make_record

ITEMS = [FeedItem(record=make_record(1), age_seconds=0.5, is_gone=False)]


def test_upstreams_survive_a_restart(tmp_path: Path) -> None:
    """Guards against a restart of all replicas that loses every upstream."""
    UpstreamStore(folder=tmp_path).save(ITEMS)
    loaded = UpstreamStore(folder=tmp_path).load()
    assert [item.record for item in loaded] == [make_record(1)]
    assert loaded[0].age_seconds == 0.0


def test_a_damaged_file_is_treated_as_missing(tmp_path: Path) -> None:
    """Guards against a partly written file that prevents a replica from starting."""
    store = UpstreamStore(folder=tmp_path)
    assert store.load() == []
    store.save(ITEMS)
    data = (tmp_path / FILE_NAME).read_bytes()
    for damaged in (b"", data[:-1], data[:10] + b"\xff" + data[11:]):
        (tmp_path / FILE_NAME).write_bytes(damaged)
        assert store.load() == []


def test_a_failed_write_is_not_an_error(tmp_path: Path) -> None:
    """Guards against a replica that ends when the file cannot be written."""
    store = UpstreamStore(folder=tmp_path / "missing")
    store.save(ITEMS)
    assert store.has_failed
