"""docs/CAPACITY.md against the records that it is computed from."""

import json
import shutil

import pytest

from bench.scale import design, findings, page, tables
from bench.scale.model import Costs, Mechanism, RoleModel, Term
from bench.scale.records import RECORDS_FOLDER, Measured, Record, RecordedRows, UnusableRecordError, row, write_record


def test_the_page_is_what_the_records_give():
    text = page.PAGE.read_text()
    assert page.with_generated_parts(text, RecordedRows()) == text, "run python -m bench.scale capacity"


def test_a_figure_edited_by_hand_is_refused(tmp_path):
    """By its fit where it is one of the values; by the page's digest wherever it stands."""
    shutil.copytree(RECORDS_FOLDER, tmp_path, dirs_exist_ok=True)
    path = tmp_path / "slopes.json"
    data = path.read_text()
    edited = json.loads(data)
    row_of_joins = next(one for one in edited["rows"] if one["mechanism"] == "join")
    row_of_joins["values"][2] *= 1.5
    path.write_text(json.dumps(edited))
    with pytest.raises(
        UnusableRecordError, match=r"slopes.json: rows\[\d+\] router.join.time: .* is not what its values fit"
    ):
        RecordedRows(tmp_path)
    path.write_text(data.replace('"seed": 7', '"seed": 8'))
    text = page.PAGE.read_text()
    assert page.with_generated_parts(text, RecordedRows(tmp_path)) != text


def test_a_page_whose_marks_differ_is_refused():
    with pytest.raises(UnusableRecordError, match="its marked parts are"):
        page.with_generated_parts(page.PAGE.read_text().replace("generated: roles", "generated: rolls"), RecordedRows())


@pytest.fixture
def known(tmp_path):
    """A record of two routers' rows: one seen up to the design size, one not."""
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


def test_extrapolations_and_what_is_over_are_marked(known):
    costs = Costs(cpu=(Term("router.near.cpu", 1600),), bytes=(Term("router.far.bytes", 1600, 2.0),))
    role = RoleModel("Router", (Mechanism("it", "s", "c", "b", costs),), {"cpu": 0.1, "bytes": 4000})
    text = tables.totals_table(role, known)
    assert "| core | 10% | **OVER** 16%\\* |" in text
    assert "| bytes/s | 4,000 | 3,200 |" in text  # seen, and within
    assert "16%\\*" in tables.mechanisms_table(role, known)


def test_figures_of_other_runs_have_their_place(known):
    text = tables.planned_tables(known)
    assert "| relay | change_log | bytes | ordinary | 1600 routers | 1,230 | B/s | virtual, one | m |" in text
    assert "`router.near.cpu`" in text and "`router.near.cpu`" not in tables.slopes_table(known)


def test_what_is_over_on_the_page_is_marked_there():
    known, text = RecordedRows(), page.PAGE.read_text()
    found = page.exceeded_allowances(known)
    assert found and text.count("**OVER** ") == len(found)
    assert f"{design.ROUTERS:,}" in findings.limitations(known) and len(findings.limitations(known).splitlines()) == 5
