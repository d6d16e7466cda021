"""Recorded measurements: one JSON file a run, checked against its schema and its own fits when it is read."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path
from typing import Literal

import msgspec
import numpy

from bench.scale.fits import fit

RECORDS_FOLDER = Path(__file__).parent.parent / "records"
LEAST_SIZES = 4
DIGEST_BYTES = 6

Role = Literal["router", "relay", "control", "list_service"]
Resource = Literal["cpu", "messages", "bytes", "memory", "state", "time", "share"]
COSTS = ("cpu", "messages", "bytes", "memory", "time")
Played = Literal["virtual", "sockets", "computed"]


class UnusableRecordError(Exception):
    """A record that does not fit its schema; the text names file and place."""


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One cost measured at several sizes, and its fit (fits.Fit)."""

    mechanism: str  # "failure_detector"; with role and resource unique over all records
    role: Role
    resource: Resource
    axis: str  # what the sizes count
    sizes: list[float]
    values: list[float]  # medians over the rounds
    unit: str
    model: Literal["linear", "power"]
    offset: float
    slope: float
    residual: float
    seen_up_to: float
    played: Played  # virtual time, real sockets, or computed by the program's own formula
    method: str

    @property
    def name(self) -> str:
        return f"{self.role}.{self.mechanism}.{self.resource}"

    def at(self, size: float) -> float:
        """The cost at a size: between two measured ones by interpolation, beyond them by the fit. A cost that fell with
        the size is not taken to fall further than was seen.
        """
        if self.sizes[0] <= size <= self.sizes[-1]:
            return float(numpy.interp(size, self.sizes, self.values))
        fitted = fit(self.sizes, self.values).at(size)
        return max(fitted, self.values[-1]) if self.resource in COSTS and size > self.sizes[-1] else fitted

    def extrapolated(self, size: float) -> bool:
        return size > self.seen_up_to


class Measured(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One figure at one size, of a run that plays the design itself: `python -m bench.scale fleet`."""

    mechanism: str
    role: Role
    resource: Resource
    situation: str  # as model.SITUATIONS
    size: float
    axis: str  # what the size counts
    value: float
    unit: str
    played: Played
    method: str


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One run."""

    run: str  # the command
    date: str
    seed: int
    rounds: int
    reference_s: float = 0.0  # CPU seconds of meter.reference on that machine, the least during the run
    reference_most_s: float = 0.0  # the most: how much other work took of the machine
    rows: list[Row] = []
    figures: list[Measured] = []


def row(
    mechanism: str,
    role: Role,
    resource: Resource,
    axis: str,
    sizes: list[float],
    values: list[float],
    unit: str,
    played: Played,
    method: str,
) -> Row:
    """A measurement with its fit."""
    sizes = [float(size) for size in sizes]
    values = [float(f"{value:.6g}") for value in values]
    found = fit(sizes, values)
    return Row(
        mechanism=mechanism,
        role=role,
        resource=resource,
        axis=axis,
        sizes=sizes,
        values=values,
        unit=unit,
        model=found.model,
        offset=found.offset,
        slope=found.slope,
        residual=found.residual,
        seen_up_to=max(sizes),
        played=played,
        method=method,
    )


def fault(one: Row) -> str:
    """What is wrong with a row by itself, "" for nothing."""
    if len(one.sizes) != len(one.values) or len(one.sizes) < LEAST_SIZES:
        return f"{len(one.sizes)} sizes and {len(one.values)} values; {LEAST_SIZES} of each at least"
    if sorted(set(one.sizes)) != one.sizes:
        return "sizes must rise"
    if one.seen_up_to != one.sizes[-1]:
        return f"seen_up_to {one.seen_up_to:g} is not the largest size"
    found = fit(one.sizes, one.values)
    for told, computed in ((one.offset, found.offset), (one.slope, found.slope), (one.residual, found.residual)):
        if abs(told - computed) > 1e-3 * abs(computed) + 1e-9:
            return f"{told:g} is not what its values fit ({computed:g})"
    return "" if one.model == found.model else f"{one.model} is not what its values fit ({found.model})"


def parse_record(data: bytes, name: str) -> Record:
    """Raises Unusable, naming the file and the place in it."""
    try:
        record = msgspec.json.decode(data, type=Record)
    except msgspec.ValidationError as problem:
        raise UnusableRecordError(f"{name}: {problem}") from None
    except msgspec.DecodeError as problem:
        raise UnusableRecordError(f"{name}: is no JSON: {problem}") from None
    for place, one in enumerate(record.rows):
        if why := fault(one):
            raise UnusableRecordError(f"{name}: rows[{place}] {one.name}: {why}")
    return record


def write_record(path: Path, record: Record) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")


def digest(data: bytes) -> str:
    """A short name of a record's contents."""
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


class RecordedRows:
    """All rows of a folder's records. Raises Unusable, also where two records hold the same row."""

    def __init__(self, folder: Path = RECORDS_FOLDER) -> None:
        self.rows: dict[str, Row] = {}
        self.sources: dict[str, str] = {}  # which record a row is from
        self.digests: dict[str, str] = {}
        self.records: dict[str, Record] = {}
        for path in sorted(folder.glob("*.json")):
            data = path.read_bytes()
            record = parse_record(data, path.name)
            self.records[path.stem], self.digests[path.stem] = record, digest(data)
            for one in record.rows:
                if one.name in self.rows:
                    raise UnusableRecordError(f"{path.name}: {one.name} stands in {self.sources[one.name]}.json, too")
                self.rows[one.name], self.sources[one.name] = one, path.stem

    def __getitem__(self, name: str) -> Row:
        try:
            return self.rows[name]
        except KeyError:
            raise UnusableRecordError(f"no record holds {name}") from None
