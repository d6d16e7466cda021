"""A play's visits as Parquet, one row each; schema version 1 in the file's metadata."""

from __future__ import annotations

from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

VERSION = b"1"
SCHEMA = pa.schema(
    [
        ("number", pa.uint64()),  # from 1, in the order of their coming
        ("since", pa.float64()),  # seconds of the scenario when it came
        ("router", pa.uint32()),
        ("tariff", pa.dictionary(pa.int8(), pa.string())),
        ("key", pa.uint64()),
        ("part", pa.uint32()),
        ("word", pa.dictionary(pa.int8(), pa.string())),  # honoured, late, denied, abandoned
        ("took", pa.float64()),  # seconds until its final answer
        ("forwards", pa.uint16()),
        ("again", pa.uint8()),  # how often it had been denied before
        ("hit", pa.bool_()),  # a cache held it
    ],
    metadata={b"wickhinge.lab": VERSION},
)


def write_records(rows: list[tuple[Any, ...]], path: str) -> None:
    columns = list(zip(*rows, strict=True)) if rows else [[] for _ in SCHEMA]
    table = pa.table(
        [pa.array(column, field.type) for column, field in zip(columns, SCHEMA, strict=True)], schema=SCHEMA
    )
    pq.write_table(table, path, compression="zstd")


def read_records(path: str) -> pa.Table:
    """Raises ValueError for a file of another schema."""
    table = pq.read_table(path)
    if (table.schema.metadata or {}).get(b"wickhinge.lab") != VERSION:
        raise ValueError(f"{path}: is no record of this laboratory's version")
    return table
