"""File format of the stored endpoint list, with a format version, a sequence number and a checksum.

A file that does not hold a complete list is rejected as a whole. Names in the file that differ from the names in the
program are given by the `name=` arguments. Times are in Unix seconds.
"""

from __future__ import annotations

from struct import Struct

import msgspec
from xxhash import xxh3_64_intdigest

from wickhinge.membership.errors import CorruptListError
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import MAX_ENDPOINTS, EndpointState, ListSource, Statement

FORMAT_VERSION = 1
FILE_NAMES = ("list-a.wh", "list-b.wh")  # A list is in the file whose index is its sequence number modulo 2.
_MAGIC = b"WHLIST\x00\x00"
# Header fields: magic, version, sequence number, body length, checksum of the body and of the sequence number.
_HEADER = Struct(">8sHQIQ")
_MAX_BODY_BYTES = 8 << 20
MAX_FILE_BYTES = _HEADER.size + _MAX_BODY_BYTES


class EndpointRecord(msgspec.Struct, array_like=True):
    """One endpoint in a stored or exchanged list.

    In an exchanged list, `stated_at` is not a time but the age of the statement in seconds.
    """

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
    trust: str = msgspec.field(default="", name="stage")  # Trust at the time of writing; for information only.
    answered_at: float = msgspec.field(default=0.0, name="proven")  # Time of the last answer to this router; 0 if none.


class StoredList(msgspec.Struct):
    """Content of the file: what the router knows when it starts while the discovery service is unavailable."""

    deployment: str  # Fingerprint of the deployment's settings; the list of another deployment is not used.
    written_at: float = msgspec.field(name="written")
    last_update_at: float = msgspec.field(name="heard")  # When all events had last been received; 0 if never.
    last_event: int = msgspec.field(name="number")  # Number of the last event that had been received then.
    endpoints: list[EndpointRecord] = msgspec.field(name="machines")
    gone: list[tuple[int, float]] = []  # Pairs of endpoint id and time at which it was gone.
    purges: list[PurgeRecord] = []  # Purges that some servers may not have carried out yet.
    usual_loads: tuple[float, float] = msgspec.field(default=(0.0, 0.0), name="usual")
    """Seconds of work per second that this router usually sends to one warm cache, and to one warm parent."""


def deployment_fingerprint(zones: list[str], kinds: list[str], tariffs: list[str]) -> str:
    """Return 16 hex digits that identify the zones, kinds and tariffs of the settings."""
    text = "\x00".join(["zones", *zones, "kinds", *kinds, "tariffs", *tariffs])
    return f"{xxh3_64_intdigest(text.encode()):016x}"


def encode(stored: StoredList, sequence: int) -> bytes:
    """Return the bytes of a file; of two files, the one with the higher `sequence` is newer."""
    body = msgspec.msgpack.encode(stored)
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, sequence, len(body), xxh3_64_intdigest(body, sequence)) + body


def decode(data: bytes) -> tuple[int, StoredList]:
    """Return the sequence number and the list in the bytes of a file.

    Raises:
        CorruptListError: The bytes are not a complete list of this format.
    """
    if len(data) < _HEADER.size:
        raise CorruptListError("the file is shorter than its header")
    magic, version, sequence, length, checksum = _HEADER.unpack_from(data)
    if magic != _MAGIC:
        raise CorruptListError("the file does not start with the mark of a stored endpoint list")
    if version != FORMAT_VERSION:
        raise CorruptListError(f"the file has format version {version}; this program reads version {FORMAT_VERSION}")
    body = data[_HEADER.size :]
    if length > _MAX_BODY_BYTES or len(body) != length or xxh3_64_intdigest(body, sequence) != checksum:
        raise CorruptListError("the file is damaged: its length or checksum does not match its header")
    try:
        stored = msgspec.msgpack.decode(body, type=StoredList)
    except msgspec.MsgspecError as error:
        raise CorruptListError(f"the file content is not an endpoint list: {error}") from None
    if len(stored.endpoints) > MAX_ENDPOINTS:
        raise CorruptListError(f"the file lists more than {MAX_ENDPOINTS} endpoints")
    return sequence, stored


def record_fields(record: EndpointRecord) -> dict[str, object]:
    """Return the fields of a record by their names in the file."""
    return {field.encode_name: getattr(record, field.name) for field in msgspec.structs.fields(record)}


def to_record(statement: Statement, trust: str = "", answered_at: float = 0.0) -> EndpointRecord:
    """Return the record for a statement.

    Args:
        statement: Statement to be stored or exchanged.
        trust: Name of the trust in the endpoint, or empty.
        answered_at: Time of the endpoint's last answer to this router; 0 if none.
    """
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
    """Return the statement in a record.

    Args:
        record: Stored or exchanged record.
        source: Source of the statement.
        stated_at: Time of the statement; None for the time in the record.
    """
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
