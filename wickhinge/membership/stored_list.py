"""The list on disk: one of two files, each whole with version, sequence and checksum, or not believed at all."""

from __future__ import annotations

from struct import Struct

import msgspec
from xxhash import xxh3_64_intdigest

from wickhinge.membership.statement_table import MOST, REMEMBERED, Statement

VERSION = 1
MAGIC = b"WHLIST\x00\x00"
HEAD = Struct(">8sHQIQ")  # magic, version, sequence, length, checksum of all that follows and of the sequence
NAMES = ("list-a.wh", "list-b.wh")
LONGEST = 8 << 20
PURGES = 20_000


class Unreadable(Exception):
    """No such list; the text says why."""


class Row(msgspec.Struct, array_like=True):
    mark: int
    host: str
    port: int
    state: str
    zone: str
    kind: str
    cell: int
    weight: float
    started: float | None
    said: float
    source: str
    stage: str = ""  # of trust, for whoever reads the file
    proven: float = 0.0  # when it last answered this router


class Memory(msgspec.Struct):
    """All that a start without discovery can know. Times are Unix seconds."""

    deployment: str  # of the settings' names: a list of another deployment is none
    written: float
    heard: float  # when the live service last had nothing more to tell; 0: never
    number: int  # of the last event then
    machines: list[Row]
    gone: list[tuple[int, float]] = []
    purges: list[tuple[int | None, int, float]] = []  # object or group, stamp: not yet done everywhere
    usual: tuple[float, float] = (0.0, 0.0)  # work a second to a warm machine of each tier


def deployment(zones: list[str], kinds: list[str], tariffs: list[str]) -> str:
    text = "\x00".join(["zones", *zones, "kinds", *kinds, "tariffs", *tariffs])
    return f"{xxh3_64_intdigest(text.encode()):016x}"


def pack(memory: Memory, sequence: int) -> bytes:
    data = msgspec.msgpack.encode(memory)
    return HEAD.pack(MAGIC, VERSION, sequence, len(data), xxh3_64_intdigest(data, sequence)) + data


def unpack(data: bytes) -> tuple[int, Memory]:
    """Raises Unreadable for anything but a whole list of this format."""
    if len(data) < HEAD.size:
        raise Unreadable("is shorter than its head")
    magic, version, sequence, length, checksum = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise Unreadable("is no remembered list")
    if version != VERSION:
        raise Unreadable(f"has format {version}; this program reads {VERSION}")
    data = data[HEAD.size :]
    if length > LONGEST or len(data) != length or xxh3_64_intdigest(data, sequence) != checksum:
        raise Unreadable("is not as it was written")
    try:
        memory = msgspec.msgpack.decode(data, type=Memory)
    except msgspec.MsgspecError as problem:
        raise Unreadable(f"holds something else: {problem}") from None
    if len(memory.machines) > MOST:
        raise Unreadable(f"names over {MOST} machines")
    return sequence, memory


def row(one: Statement, stage: str = "", proven: float = 0.0) -> Row:
    return Row(
        one.mark,
        *one.address,
        one.state,
        one.zone,
        one.kind,
        one.cell,
        one.weight,
        one.started,
        one.said,
        one.source,
        stage,
        proven,
    )


def statement(one: Row, source: str = REMEMBERED) -> Statement:
    return Statement(
        one.mark,
        (one.host, one.port),
        one.state,
        one.zone,
        one.kind,
        one.cell,
        one.weight,
        one.started,
        one.said,
        source,
    )
