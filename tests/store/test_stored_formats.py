"""Data files of format 1, written by the release that introduced the format, are read and encoded byte for byte.

`tests/data/store/format-1` holds two segments, a snapshot of the index that covers the whole first segment and the
beginning of the second, and both files of the purge log. Object 3 and group 10 were purged, then object 1; part 0 of
object 1 was stored again after its purge.
"""

import shutil
from pathlib import Path

import pytest

from tests.support.faulty_disk import ManualLanes
from wickhinge.store import file_format, maintenance
from wickhinge.store.copies import Copy
from wickhinge.store.files import Files
from wickhinge.store.purge_log import PURGE_LOG_NAMES
from wickhinge.store.store import Store
from wickhinge.store.tier import Runtime, StoreLimits
from wickhinge.store.volume import Volume

DATA = Path(__file__).parent.parent / "data" / "store" / "format-1"
NOW_S = 1_700_000_100.0
MAX_KEY = (1 << 64) - 1
# Valid copies in the data files, as (key, part): (group, etag, created, body size).
COPIES = {
    (1, 0): (7, b"tag-1-0", 1_700_000_003.0, 1234),
    (2, 0): (8, b"tag-2-0", 1_700_000_000.75, 40000),
    (4, 0): (9, b"tag-4-0", 1_700_000_001.25, 500),
    (6, 0): (11, b"tag-6-0", 1_700_000_002.0, 800),
    (MAX_KEY, 0): (12, f"tag-{MAX_KEY}-0".encode(), 1_700_000_002.25, 64),
}
# Copies in the data files that a purge covers, as (key, part).
PURGED = [(1, 1), (3, 0), (5, 0)]


def body_of(key, part, size):
    return bytes((key * 31 + part * 7 + index) % 251 for index in range(size))


@pytest.fixture
def directory(tmp_path):
    shutil.copytree(DATA, tmp_path / "store")
    return str(tmp_path / "store")


def recovered_store(directory):
    lanes = ManualLanes()
    volume = Volume(Files(), directory, 16384, event_numbers_persist=True)
    limits = StoreLimits(
        disk_bytes=8 * 65536,
        segment_bytes=16384,
        memory_bytes=0,
        frequency_table_objects=1024,
        max_queued_write_bytes=1 << 20,
        write_bytes_per_s=1e9,
        slow_read_s=0.1,
        max_concurrent_reads=16,
        snapshot_interval_s=1e9,
        max_journal_silence_s=3.0,
        event_numbers_persist=True,
    )
    store = Store(volume, Runtime(lanes, lambda: NOW_S, lambda *_: None, lambda *_, **__: None), limits)
    store.start()
    lanes.run_all()
    return store, lanes


def test_recovery_when_the_files_have_format_1_finds_the_copies_that_no_purge_covers(directory):
    store, lanes = recovered_store(directory)
    for (key, part), (group, etag, created, size) in COPIES.items():
        copy = store.find(key, part, NOW_S)
        assert (copy.group, copy.etag, copy.created, copy.size) == (group, etag, created, size)
        bodies = []
        store.read(copy, lambda data, _from_memory, bodies=bodies: bodies.append(data))
        lanes.run_all()
        assert bodies == [body_of(key, part, size)]
    for key, part in PURGED:
        assert store.find(key, part, NOW_S) is None
    assert store.tier.admission.copy_count == len(COPIES)
    assert store.last_event_number == 13 and store.tier.counters.recovered >= len(COPIES)
    store.close()


def test_maintenance_when_the_files_have_format_1_counts_copies_and_purges_and_finds_no_damage(directory):
    volume = maintenance.open_volume(directory)
    assert {
        key_and_part: (copy.group, copy.etag, copy.created, copy.size)
        for key_and_part, copy in maintenance.live_copies(volume).items()
    } == COPIES
    assert len(volume.purges) == 4 and volume.purges.last_event_number == 13 and not volume.may_lack_purges
    stat = maintenance.stat(volume)
    assert (stat["format"], stat["segments"], stat["copies"], stat["purges"]) == (1, 2, len(COPIES), 4)
    assert (stat["journal_number"], stat["snapshots"], stat["believed"]) == (13, 1, True)
    verified = maintenance.verify(volume)
    assert verified == {"copies": len(COPIES), "bytes": 42598, "damaged": 0, "damage": []}
    volume.close()


def test_records_when_encoded_again_are_the_same_bytes(directory):
    volume = maintenance.open_volume(directory)
    record_count = 0
    for number in volume.segments.initial_sizes:
        segment = (DATA / f"segment-{number:010d}.wh").read_bytes()
        seed = file_format.checksum_seed(volume.store_id, number)
        for header, location in volume.segments.scan(number, 0, verify_bodies=True):
            body = segment[location.offset + header.header_bytes : location.offset + header.header_bytes + header.size]
            assert body == body_of(header.key, header.part, header.size)
            copy = Copy(header.key, header.part, header.group, header.etag, header.created, header.size, header.serial)
            record = file_format.encode_record(copy, body, seed)
            assert record == segment[location.offset : location.offset + location.length]
            record_count += 1
    assert record_count == 9 and file_format.encode_identity(volume.store_id) == (DATA / "store.wh").read_bytes()
    volume.close()


def test_purge_log_when_encoded_again_is_the_same_bytes():
    for name in PURGE_LOG_NAMES:
        data = (DATA / name).read_bytes()
        lines = file_format.decode_purge_lines(data)
        assert [kind for _, kind, _ in lines] == [0, 1, 1, 1]
        assert b"".join(file_format.encode_purge_line(line) for line in lines) == data


def test_snapshot_when_encoded_again_is_the_same_bytes(directory):
    (name,) = (path.name for path in DATA.glob("index-*.wh"))
    volume = maintenance.open_volume(directory)
    snapshot = volume.snapshots.read(name, volume.store_id)
    assert snapshot.meta.marks == [(1, 45312), (2, 704)] and snapshot.meta.serial == 5
    assert [len(row.copies) for row in snapshot.batches[0]] == [1, 1, 1, 2]
    blocks = [snapshot.meta, *snapshot.batches, file_format.SNAPSHOT_END]
    encoded = file_format.encode_snapshot_header(volume.store_id) + b"".join(map(file_format.encode_block, blocks))
    assert encoded == (DATA / name).read_bytes()
    volume.close()
