"""The requests of a simulation as a Parquet file with one row per request; its metadata hold the schema version."""

from __future__ import annotations

from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

SCHEMA_VERSION = b"1"
SCHEMA = pa.schema(
    [
        ("number", pa.uint64()),  # Number of the request, from 1, in the order of arrival.
        ("since", pa.float64()),  # Virtual time at which the request arrived, in seconds.
        ("router", pa.uint32()),
        ("tariff", pa.dictionary(pa.int8(), pa.string())),  # Name of the request class.
        ("key", pa.uint64()),
        ("part", pa.uint32()),
        ("word", pa.dictionary(pa.int8(), pa.string())),  # Result: honoured, late, denied or abandoned.
        ("took", pa.float64()),  # Seconds from the arrival to the final answer.
        ("forwards", pa.uint16()),  # Number of attempts that were sent.
        ("again", pa.uint8()),  # Number of earlier rejections of the same request.
        ("hit", pa.bool_()),  # Whether a cache answered from its own copy.
    ],
    metadata={b"wickhinge.lab": SCHEMA_VERSION},
)


def write_records(rows: list[tuple[Any, ...]], path: str) -> None:
    """Write rows with the columns of `SCHEMA` to a Parquet file."""
    columns = list(zip(*rows, strict=True)) if rows else [[] for _ in SCHEMA]
    table = pa.table(
        [pa.array(column, field.type) for column, field in zip(columns, SCHEMA, strict=True)], schema=SCHEMA
    )
    pq.write_table(table, path, compression="zstd")


def read_records(path: str) -> pa.Table:
    """Read a file of records.

    Raises:
        ValueError: The file has no schema version, or another one than `SCHEMA_VERSION`.
    """
    table = pq.read_table(path)
    if (table.schema.metadata or {}).get(b"wickhinge.lab") != SCHEMA_VERSION:
        raise ValueError(f"{path}: is not a file of simulation records of the expected schema version")
    return table
