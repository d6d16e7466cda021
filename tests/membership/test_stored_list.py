"""Remembered endpoint lists that an earlier version wrote are read as they were meant.

tests/data/membership/remembered-list holds both generations of a list, as version 0.2.0 wrote them.
"""

import shutil
from pathlib import Path

from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.stored_list import EndpointRecord, StoredList, decode, encode
from wickhinge.store.files import Files

STORED = Path(__file__).parents[1] / "data/membership/remembered-list"
DEPLOYMENT = "5655ac8b6d28a37c"
ROWS = [
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
NEWEST = StoredList(
    DEPLOYMENT,
    1700000200.0,
    1700000199.0,
    42,
    ROWS,
    [(0xA9, 1699999999.0)],
    [(7, 0, 1700000150.0), (None, 3, 1700000160.0)],
    (12.5, 3.25),
)
OLDER = StoredList(DEPLOYMENT, 1700000100.0, 1700000099.0, 41, ROWS[:1])


def test_a_list_of_the_version_before_when_both_generations_are_whole_gives_the_newest(tmp_path):
    shutil.copytree(STORED, tmp_path, dirs_exist_ok=True)
    assert EndpointListFile(Files(), str(tmp_path)).read() == (NEWEST, [])


def test_a_list_of_the_version_before_when_the_newest_is_damaged_gives_the_older(tmp_path):
    shutil.copytree(STORED, tmp_path, dirs_exist_ok=True)
    (tmp_path / "list-a.wh").write_bytes(b"")
    assert EndpointListFile(Files(), str(tmp_path)).read() == (
        OLDER,
        ["list-a.wh: the file is shorter than its header"],
    )


def test_a_list_that_is_written_again_when_read_from_the_version_before_has_the_same_bytes():
    data = (STORED / "list-a.wh").read_bytes()
    sequence, stored = decode(data)
    assert sequence == 2 and encode(stored, sequence) == data
