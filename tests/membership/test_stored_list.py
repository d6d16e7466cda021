"""Stored endpoint lists that an earlier version wrote can be read.

tests/data/membership/remembered-list holds both files of a stored list, as version 0.2.0 wrote them.
"""

import shutil
from pathlib import Path

from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.stored_list import EndpointRecord, StoredList, decode, encode
from wickhinge.store.files import Files

STORED_LIST_DIRECTORY = Path(__file__).parents[1] / "data/membership/remembered-list"
DEPLOYMENT = "5655ac8b6d28a37c"
RECORDS = [
    EndpointRecord(
        0xA1, "127.0.0.1", 9001, "ready", "here", "box", 0, 4.0, None, 1700000000.0, "live", "vouched", 1700000001.5
    ),
    EndpointRecord(
        0xA2, "::1", 9002, "draining", "here", "box", 1, 2.5, 1699999000.25, 1700000000.5, "sibling", "proving", 0.0
    ),
    EndpointRecord(
        0xB1, "127.0.0.1", 9003, "ready", "hub", "parent", 0, 40.0, None, 1699990000.0, "remembered", "unknown", 0.0
    ),
    EndpointRecord(
        0xC1, "origin.example.net", 9004, "ready", "hub", "origin", 0, 1e6, None, 0.0, "static", "dropped", 0.0
    ),
]
NEWEST_LIST = StoredList(
    DEPLOYMENT,
    1700000200.0,
    1700000199.0,
    42,
    RECORDS,
    [(0xA9, 1699999999.0)],
    [(7, 0, 1700000150.0), (None, 3, 1700000160.0)],
    (12.5, 3.25),
)
OLDER_LIST = StoredList(DEPLOYMENT, 1700000100.0, 1700000099.0, 41, RECORDS[:1])


def test_read_when_version_0_2_0_wrote_both_files_returns_the_newest_list(tmp_path):
    shutil.copytree(STORED_LIST_DIRECTORY, tmp_path, dirs_exist_ok=True)
    assert EndpointListFile(Files(), str(tmp_path)).read() == (NEWEST_LIST, [])


def test_read_when_the_newest_file_of_version_0_2_0_is_damaged_returns_the_older_list(tmp_path):
    shutil.copytree(STORED_LIST_DIRECTORY, tmp_path, dirs_exist_ok=True)
    (tmp_path / "list-a.wh").write_bytes(b"")
    assert EndpointListFile(Files(), str(tmp_path)).read() == (
        OLDER_LIST,
        ["list-a.wh: the file is shorter than its header"],
    )


def test_encode_when_the_list_was_read_from_a_file_of_version_0_2_0_returns_the_same_bytes():
    data = (STORED_LIST_DIRECTORY / "list-a.wh").read_bytes()
    sequence, stored = decode(data)
    assert sequence == 2 and encode(stored, sequence) == data
