"""Recorded measurements: one JSON file per run, checked against its schema and against its own fits when read."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path
from typing import Literal

import msgspec
import numpy

from bench.scale.fits import fit

RECORDS_FOLDER = Path(__file__).parent.parent / "records"
# Fewest sizes that a row has to be measured at for its fit to be accepted.
MIN_SIZES = 4
SHORT_DIGEST_BYTES = 6

Role = Literal["router", "relay", "control", "list_service"]
Resource = Literal["cpu", "messages", "bytes", "memory", "state", "time", "share"]
# Resources that cost something, unlike "state" and "share": beyond the measured sizes they are not taken to fall.
COST_RESOURCES = ("cpu", "messages", "bytes", "memory", "time")
HowMeasured = Literal["virtual", "sockets", "computed"]


class UnusableRecordError(Exception):
    """A record that cannot be used, or a row that no record has; the message names the file and the place in it."""


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One cost measured at several sizes, with the fit of fits.Fit.

    Attributes:
        mechanism: Name of the mechanism ("failure_detector"); with role and resource it is unique over all records.
        role: The kind of process that pays the cost.
        resource: The kind of cost.
        axis: What the sizes count ("routers").
        sizes: The measured sizes, ascending.
        values: The cost at each size, the median over the rounds.
        unit: Unit of the values.
        model: Shape of the fitted curve.
        offset: The fit's offset.
        slope: The fit's slope.
        residual: The fit's residual.
        seen_up_to: The largest measured size; beyond it the cost is extrapolated.
        played: Measured in virtual time, measured on real sockets, or computed by the program's own formula.
        method: How the values were taken.
    """

    mechanism: str
    role: Role
    resource: Resource
    axis: str
    sizes: list[float]
    values: list[float]
    unit: str
    model: Literal["linear", "power"]
    offset: float
    slope: float
    residual: float
    seen_up_to: float
    played: HowMeasured
    method: str

    @property
    def name(self) -> str:
        return f"{self.role}.{self.mechanism}.{self.resource}"

    def value_at(self, size: float) -> float:
        """Return the cost at a size, interpolated between the measured sizes and by the fit beyond them.

        A cost that fell with the size is not taken to fall below its value at the largest measured size.
        """
        if self.sizes[0] <= size <= self.sizes[-1]:
            return float(numpy.interp(size, self.sizes, self.values))
        fitted = fit(self.sizes, self.values).value_at(size)
        return max(fitted, self.values[-1]) if self.resource in COST_RESOURCES and size > self.sizes[-1] else fitted

    def is_extrapolated(self, size: float) -> bool:
        return size > self.seen_up_to


class Measured(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One value at one size, from a run of the planned design itself (`python -m bench.scale fleet`).

    Attributes:
        mechanism: Name of the mechanism.
        role: The kind of process that pays the cost.
        resource: The kind of cost.
        situation: One of model.SITUATIONS.
        size: The size at which the value was taken.
        axis: What the size counts.
        value: The measured value.
        unit: Unit of the value.
        played: Measured in virtual time, measured on real sockets, or computed.
        method: How the value was taken.
    """

    mechanism: str
    role: Role
    resource: Resource
    situation: str
    size: float
    axis: str
    value: float
    unit: str
    played: HowMeasured
    method: str


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The record of one run.

    Attributes:
        run: The command line.
        date: The day of the run, ISO 8601.
        seed: Seed of the run's random numbers.
        rounds: How often each CPU time was taken; the median counts.
        reference_s: Least CPU seconds of meter.reference_cpu_s during the run, which tells how fast the machine is.
        reference_most_s: Most CPU seconds of meter.reference_cpu_s, which tells how much other work slowed the machine.
        rows: Costs measured at several sizes.
        figures: Values measured at one size.
    """

    run: str
    date: str
    seed: int
    rounds: int
    reference_s: float = 0.0
    reference_most_s: float = 0.0
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
    played: HowMeasured,
    method: str,
) -> Row:
    """Return a row of measured values with its fit; values are rounded to six significant digits."""
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


def row_problem(cost_row: Row) -> str:
    """Return why a row contradicts itself, or "" if it does not."""
    if len(cost_row.sizes) != len(cost_row.values) or len(cost_row.sizes) < MIN_SIZES:
        return (
            f"{len(cost_row.sizes)} sizes and {len(cost_row.values)} values;"
            f" expected as many values as sizes, at least {MIN_SIZES} of each"
        )
    if sorted(set(cost_row.sizes)) != cost_row.sizes:
        return "sizes must be in strictly ascending order"
    if cost_row.seen_up_to != cost_row.sizes[-1]:
        return f"seen_up_to {cost_row.seen_up_to:g} is not the largest size"
    found = fit(cost_row.sizes, cost_row.values)
    for recorded, computed in (
        (cost_row.offset, found.offset),
        (cost_row.slope, found.slope),
        (cost_row.residual, found.residual),
    ):
        if abs(recorded - computed) > 1e-3 * abs(computed) + 1e-9:
            return f"{recorded:g} is not what its values fit ({computed:g})"
    return "" if cost_row.model == found.model else f"{cost_row.model} is not what its values fit ({found.model})"


def parse_record(data: bytes, name: str) -> Record:
    """Decode a record and check each of its rows.

    Raises:
        UnusableRecordError: The data do not fit the schema, or a row contradicts itself. The message names the file
            and the place in it.
    """
    try:
        record = msgspec.json.decode(data, type=Record)
    except msgspec.ValidationError as problem:
        raise UnusableRecordError(f"{name}: {problem}") from None
    except msgspec.DecodeError as problem:
        raise UnusableRecordError(f"{name}: is not valid JSON: {problem}") from None
    for place, cost_row in enumerate(record.rows):
        if problem_text := row_problem(cost_row):
            raise UnusableRecordError(f"{name}: rows[{place}] {cost_row.name}: {problem_text}")
    return record


def write_record(path: Path, record: Record) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")


def short_digest(data: bytes) -> str:
    """Return a short BLAKE2b digest that identifies a record's contents."""
    return blake2b(data, digest_size=SHORT_DIGEST_BYTES).hexdigest()


class RecordedRows:
    """All rows of the records in a folder.

    Attributes:
        rows: The rows by name.
        sources: The name of the record that each row is from, by the row's name.
        digests: A short digest of each record's file, by the record's name.
        records: The records by name, which is the file's name without its suffix.

    Raises:
        UnusableRecordError: A record is not valid, or two records have the same row.
    """

    def __init__(self, folder: Path = RECORDS_FOLDER) -> None:
        self.rows: dict[str, Row] = {}
        self.sources: dict[str, str] = {}
        self.digests: dict[str, str] = {}
        self.records: dict[str, Record] = {}
        for path in sorted(folder.glob("*.json")):
            data = path.read_bytes()
            record = parse_record(data, path.name)
            self.records[path.stem], self.digests[path.stem] = record, short_digest(data)
            for cost_row in record.rows:
                if cost_row.name in self.rows:
                    raise UnusableRecordError(
                        f"{path.name}: row {cost_row.name} is also in {self.sources[cost_row.name]}.json"
                    )
                self.rows[cost_row.name], self.sources[cost_row.name] = cost_row, path.stem

    def __getitem__(self, name: str) -> Row:
        try:
            return self.rows[name]
        except KeyError:
            raise UnusableRecordError(f"no record has a row {name}") from None
