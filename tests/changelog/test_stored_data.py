"""Files and datagrams that version 0.2.0 wrote are decoded, and encoding results in the same bytes.

The data is described in tests/data/changelog/README.md.
"""

import shutil
from pathlib import Path

import msgspec
import pytest

from wickhinge.changelog import messages
from wickhinge.changelog.administration import AppendAnswer, AppendState, RowsPage, Status
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.effects import Persist, PersistSnapshot
from wickhinge.changelog.endpoint import Counters
from wickhinge.changelog.entries import Entry, Noop, Purge, Setting, Unknown
from wickhinge.changelog.feed import SubscriberRow
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import Packet, Record
from wickhinge.changelog.snapshots import decode_snapshot, encode_snapshot
from wickhinge.changelog.storage import FileStorage
from wickhinge.changelog.stored import StoredState
from wickhinge.store.files import Files

DATA = Path(__file__).parents[1] / "data/changelog"
KEY = b"k" * 32
STAMP_MS = 1_700_000_000_000

RECORDS = (
    Record(1, Entry(1, 1, Noop())),
    Record(1, Entry(1, 2, Purge(0xAB, 0, STAMP_MS))),
    Record(1, Entry(1, 3, Purge(0xCD, 9, STAMP_MS + 5))),
    Record(2, Entry(1, 4, Setting("journal", b"10.0.0.1:7", STAMP_MS + 9))),
    Record(2, Entry(1, 5, Unknown(20, True, b"later"))),
)
SNAPSHOT = Snapshot(
    1,
    3,
    b"d" * 8,
    (Setting("journal", b"10.0.0.2:7", STAMP_MS),),
    (Purge(0xAB, 0, STAMP_MS), Purge(None, 7, STAMP_MS + 2)),
    incomplete=True,
    term=1,
)
LATER_RECORDS = (Record(3, Entry(1, 5, Purge(None, 8, STAMP_MS + 20))), Record(3, Entry(1, 6, Noop())))
MESSAGES = (
    messages.Subscribe(1, 2, b"d" * 8, True, 300),
    messages.Unsubscribe(),
    messages.Heartbeat(1, 6, b"d" * 8, 40),
    messages.Batch(1, 1, tuple(record.entry for record in RECORDS), b"d" * 8, 9, 50),
    messages.Fetch(1, 4),
    messages.FetchSnapshot(1, 3, 2),
    messages.SnapshotPart(1, 3, 0, 2, b"payload"),
    messages.RequestVote(1, 3, 5, 2, True),
    messages.Vote(1, 3, True, False),
    messages.Append(1, 3, 0, 0, RECORDS, 2, 1, 60, 7),
    messages.Appended(1, 3, False, 4, 7),
)
PACKETS = tuple(Packet("r1", format_version, 2, 5, 6, 7, message) for format_version in (1, 2) for message in MESSAGES)
ROW = SubscriberRow("router-1", 5, 1, 0.5, 0.0, True, None)
ANSWERS = (
    Status("r1", "replica", 1, 6, 0.25, 2, 100, 200, Counters(1, 2, 3, 4, 5, 6, 7, 8), "leader", 3, "r1", False, ""),
    RowsPage(0, 1, [ROW]),
    AppendAnswer(AppendState.NOT_LEADER, 1, 7, STAMP_MS, "r2", "not the leader"),
)


def test_replica_files_when_opened_contain_the_expected_snapshot_and_records(tmp_path):
    shutil.copytree(DATA / "replica", tmp_path / "replica")
    storage = FileStorage.open(str(tmp_path / "replica"), Files())
    assert storage.stored_state == StoredState(1, 3, "r2", SNAPSHOT, (RECORDS[3], *LATER_RECORDS))
    storage.close()


def test_replica_files_when_the_same_effects_are_persisted_have_the_same_bytes(tmp_path):
    storage = FileStorage.create(str(tmp_path / "replica"), StoredState(), Files())
    storage.persist(Persist(1, 2, "r1", 0, RECORDS))
    storage.persist_snapshot(PersistSnapshot(SNAPSHOT, False))
    storage.persist(Persist(1, 3, "r2", 4, LATER_RECORDS))
    storage.close()
    names = sorted(path.name for path in (DATA / "replica").iterdir())
    assert names == ["records.2", "snapshot"]
    for name in names:
        assert (tmp_path / "replica" / name).read_bytes() == (DATA / "replica" / name).read_bytes()


def test_backup_when_decoded_is_the_expected_snapshot_and_encodes_to_the_same_bytes():
    data = (DATA / "backup.snapshot").read_bytes()
    assert decode_snapshot(data) == SNAPSHOT
    assert encode_snapshot(SNAPSHOT) == data


@pytest.mark.parametrize("index", range(len(PACKETS)))
def test_datagram_when_decoded_is_the_expected_packet_and_encodes_to_the_same_bytes(index):
    data = bytes.fromhex((DATA / "datagrams.hex").read_text().splitlines()[index])
    assert Codec(KEY, "router").decode(data) == PACKETS[index]
    assert Codec(KEY, "r1").encode("router", PACKETS[index]) == data


@pytest.mark.parametrize("index", range(len(ANSWERS)))
def test_administration_answer_when_encoded_is_the_same_bytes_and_decodes(index):
    data = (DATA / "administration.jsonl").read_bytes().splitlines()[index]
    assert msgspec.json.encode(ANSWERS[index]) == data
    assert msgspec.json.decode(data, type=type(ANSWERS[index])) == ANSWERS[index]
