"""The stored endpoint list as bytes: complete, with version, sequence and checksum, or not accepted at all.

The names of the file's format stand only in the `name=` arguments here. Times are Unix seconds.
"""

from __future__ import annotations

from struct import Struct

import msgspec
from xxhash import xxh3_64_intdigest

from wickhinge.membership.errors import CorruptListError
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import MAX_ENDPOINTS, EndpointState, ListSource, Statement

FORMAT_VERSION = 1
FILE_NAMES = ("list-a.wh", "list-b.wh")  # by the sequence's remainder
_MAGIC = b"WHLIST\x00\x00"
_HEADER = Struct(">8sHQIQ")  # magic, version, sequence, length, checksum of all that follows and of the sequence
_MAX_BODY_BYTES = 8 << 20
MAX_FILE_BYTES = _HEADER.size + _MAX_BODY_BYTES


class EndpointRecord(msgspec.Struct, array_like=True):
    """One endpoint as it is stored or exchanged; in an exchange `stated_at` is an age in seconds."""

    endpoint_id: int = msgspec.field(name="mark")
    host: str
    port: int
    state: EndpointState
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: float | None = msgspec.field(name="started")
    stated_at: float = msgspec.field(name="said")
    source: ListSource
    trust: str = msgspec.field(default="", name="stage")  # when it was written, for whoever reads the file
    answered_at: float = msgspec.field(default=0.0, name="proven")  # when it last answered this router


class StoredList(msgspec.Struct):
    """All that a start without the discovery service can know."""

    deployment: str  # fingerprint of the settings' names: a list of another deployment is not used
    written_at: float = msgspec.field(name="written")
    last_update_at: float = msgspec.field(name="heard")  # when the live service had nothing more to tell; 0: never
    last_event: int = msgspec.field(name="number")  # the service's event number at that time
    endpoints: list[EndpointRecord] = msgspec.field(name="machines")
    gone: list[tuple[int, float]] = []  # id, since when
    purges: list[PurgeRecord] = []  # not yet carried out everywhere
    usual_loads: tuple[float, float] = msgspec.field(default=(0.0, 0.0), name="usual")
    """Work a second to a warm server of each tier: caches, then parents."""


def deployment_fingerprint(zones: list[str], kinds: list[str], tariffs: list[str]) -> str:
    """Sixteen hex digits that differ where the settings name other zones, kinds or tariffs."""
    text = "\x00".join(["zones", *zones, "kinds", *kinds, "tariffs", *tariffs])
    return f"{xxh3_64_intdigest(text.encode()):016x}"


def encode(stored: StoredList, sequence: int) -> bytes:
    """A whole file; `sequence` tells the newer of two files."""
    body = msgspec.msgpack.encode(stored)
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, sequence, len(body), xxh3_64_intdigest(body, sequence)) + body


def decode(data: bytes) -> tuple[int, StoredList]:
    """The sequence and the list of a file.

    Raises:
        CorruptListError: it is anything but a complete list of this format.
    """
    if len(data) < _HEADER.size:
        raise CorruptListError("is shorter than its head")
    magic, version, sequence, length, checksum = _HEADER.unpack_from(data)
    if magic != _MAGIC:
        raise CorruptListError("is no remembered list")
    if version != FORMAT_VERSION:
        raise CorruptListError(f"has format {version}; this program reads {FORMAT_VERSION}")
    body = data[_HEADER.size :]
    if length > _MAX_BODY_BYTES or len(body) != length or xxh3_64_intdigest(body, sequence) != checksum:
        raise CorruptListError("is not as it was written")
    try:
        stored = msgspec.msgpack.decode(body, type=StoredList)
    except msgspec.MsgspecError as error:
        raise CorruptListError(f"holds something else: {error}") from None
    if len(stored.endpoints) > MAX_ENDPOINTS:
        raise CorruptListError(f"names over {MAX_ENDPOINTS} machines")
    return sequence, stored


def record_fields(record: EndpointRecord) -> dict[str, object]:
    """A record as a map, by the names of the file's format."""
    return {field.encode_name: getattr(record, field.name) for field in msgspec.structs.fields(record)}


def to_record(statement: Statement, trust: str = "", answered_at: float = 0.0) -> EndpointRecord:
    """A statement as it is stored or exchanged."""
    host, port = statement.address
    return EndpointRecord(
        endpoint_id=statement.endpoint_id,
        host=host,
        port=port,
        state=statement.state,
        zone=statement.zone,
        kind=statement.kind,
        cell=statement.cell,
        weight=statement.weight,
        started_at=statement.started_at,
        stated_at=statement.stated_at,
        source=statement.source,
        trust=trust,
        answered_at=answered_at,
    )


def to_statement(
    record: EndpointRecord, source: ListSource = ListSource.REMEMBERED, stated_at: float | None = None
) -> Statement:
    """A record as a statement of `source`, stated at `stated_at` or, where that is None, when the record says."""
    return Statement(
        endpoint_id=record.endpoint_id,
        address=(record.host, record.port),
        state=record.state,
        zone=record.zone,
        kind=record.kind,
        cell=record.cell,
        weight=record.weight,
        started_at=record.started_at,
        stated_at=record.stated_at if stated_at is None else stated_at,
        source=source,
    )
