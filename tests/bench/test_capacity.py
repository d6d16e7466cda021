"""Tests that docs/CAPACITY.md agrees with the records from which it is computed."""

import json
import shutil

import pytest

from bench.scale import design, findings, page, tables
from bench.scale.model import Costs, Mechanism, RoleModel, Term
from bench.scale.records import RECORDS_FOLDER, Measured, Record, RecordedRows, UnusableRecordError, row, write_record


def test_page_equals_the_text_generated_from_the_records():
    text = page.PAGE.read_text()
    assert page.with_generated_parts(text, RecordedRows()) == text, "run python -m bench.scale capacity"


def test_record_when_a_value_was_edited_by_hand_is_refused_or_changes_the_page(tmp_path):
    """An edited value contradicts the fit of its row; any edit changes the digest of the record on the page."""
    shutil.copytree(RECORDS_FOLDER, tmp_path, dirs_exist_ok=True)
    path = tmp_path / "slopes.json"
    data = path.read_text()
    edited = json.loads(data)
    join_row = next(each for each in edited["rows"] if each["mechanism"] == "join")
    join_row["values"][2] *= 1.5
    path.write_text(json.dumps(edited))
    with pytest.raises(
        UnusableRecordError, match=r"slopes.json: rows\[\d+\] router.join.time: .* is not what its values fit"
    ):
        RecordedRows(tmp_path)
    path.write_text(data.replace('"seed": 7', '"seed": 8'))
    text = page.PAGE.read_text()
    assert page.with_generated_parts(text, RecordedRows(tmp_path)) != text


def test_page_when_a_marker_of_a_generated_part_is_misspelled_is_refused():
    with pytest.raises(UnusableRecordError, match="its marked parts are"):
        page.with_generated_parts(page.PAGE.read_text().replace("generated: roles", "generated: rolls"), RecordedRows())


@pytest.fixture
def known(tmp_path):
    """A record with two rows of the router; only the row "far" was measured at 1600 routers, the size of the design."""
    rows = [
        row("near", "router", "cpu", "routers", [100, 200, 400, 800], [0.01, 0.02, 0.04, 0.08], "core", "virtual", "m"),
        row("far", "router", "bytes", "routers", [2, 4, 8, 1600], [2, 4, 8, 1600], "B/s", "sockets", "m"),
    ]
    figure = Measured(
        mechanism="change_log",
        role="relay",
        resource="bytes",
        situation="ordinary",
        size=1600,
        axis="routers",
        value=1234.5,
        unit="B/s",
        played="virtual",
        method="m",
    )
    write_record(
        tmp_path / "one.json",
        Record(run="r", date="d", seed=1, rounds=1, reference_s=0.1, reference_most_s=0.2, rows=rows, figures=[figure]),
    )
    return RecordedRows(tmp_path)


def test_tables_mark_extrapolated_values_and_values_above_their_budget(known):
    costs = Costs(cpu=(Term("router.near.cpu", 1600),), bytes=(Term("router.far.bytes", 1600, 2.0),))
    role = RoleModel("Router", (Mechanism("it", "s", "c", "b", costs),), {"cpu": 0.1, "bytes": 4000})
    text = tables.totals_table(role, known)
    assert "| core | 10% | **OVER** 16%\\* |" in text
    # A value that was measured up to the design size, and is below its budget, has no mark.
    assert "| bytes/s | 4,000 | 3,200 |" in text
    assert "16%\\*" in tables.mechanisms_table(role, known)


def test_planned_tables_contain_the_rows_and_figures_of_records_other_than_slopes(known):
    text = tables.planned_tables(known)
    assert "| relay | change_log | bytes | ordinary | 1600 routers | 1,230 | B/s | virtual, one | m |" in text
    assert "`router.near.cpu`" in text and "`router.near.cpu`" not in tables.slopes_table(known)


def test_page_marks_each_value_above_its_budget_and_lists_five_limitations():
    known, text = RecordedRows(), page.PAGE.read_text()
    found = page.exceeded_allowances(known)
    assert found and text.count("**OVER** ") == len(found)
    assert f"{design.ROUTERS:,}" in findings.limitations(known) and len(findings.limitations(known).splitlines()) == 5
