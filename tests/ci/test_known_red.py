"""The list of known failing tests, on small repositories of its own."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

RUNNER = Path(__file__).resolve().parents[2] / ".ci" / "known_red.py"
TESTS = """
import pytest

def test_red():
    assert False

def test_red_too():
    assert True

@pytest.mark.parametrize("value", [1, 2])
def test_red_with_parameters(value):
    assert value == 0
"""
GREEN = "\ndef test_green():\n    assert True\n"
RED = "tests/test_it.py::test_red | it is broken | issue 1"
PARAMETERS = "tests/test_it.py::test_red_with_parameters | so is this | issue 1"


def run(folder, known, tests=TESTS):
    (folder / ".ci").mkdir()
    shutil.copy(RUNNER, folder / ".ci")
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if known is not None:
        (folder / "KNOWN-RED.txt").write_text("\n".join(known) + "\n")
    command = [sys.executable, folder / ".ci" / "known_red.py"]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_it_passes_over_exactly_the_listed_tests_and_prints_them(tmp_path):
    done = run(tmp_path, [RED, PARAMETERS])
    assert done.returncode == 0, done.stdout
    assert "test_red: it is broken (issue 1)" in done.stdout and "test_red_with_parameters: so is this" in done.stdout
    assert "1 passed, 3 deselected" in done.stdout  # test_red_too only begins like a listed one


@pytest.mark.parametrize(
    "known, tests, said",
    [
        ([RED], TESTS, "2 failed, 1 passed, 1 deselected"),  # others fail
        (None, TESTS, "3 failed"),
        ([RED.replace("test_red", "test_green")], GREEN, "test_green passes: take it off the list"),
        ([RED.replace("test_red", "test_gone")], GREEN, "test_gone could not be run"),
        ([RED, RED], TESTS, "listed twice"),
        ([f"{RED}{place}".replace("test_red", f"test_{place}") for place in range(11)], TESTS, "10 at most"),
        (["tests/test_it.py::test_red"], TESTS, "line 1: not of the form"),
        (["tests/test_it.py::test_red | cause | seed | issue 1"], TESTS, "line 1: not of the form"),
        (["tests/test_it.py::test_red | | 1 | seen | issue 1"], TESTS, "line 1: not of the form"),
        (["tests/test_it.py::test_red | issue 1 | at times"], TESTS, "line 1: not of the form"),
        ([f"{RED} | at times".replace("test_red", "test_gone")], GREEN, "test_gone could not be run"),
        ([f"{RED} | at times"], TESTS, "2 failed, 1 passed, 1 deselected"),  # others fail
    ],
)
def test_it_fails(tmp_path, known, tests, said):
    done = run(tmp_path, known, tests)
    assert done.returncode != 0 and said in done.stdout


def test_a_drawn_case_is_listed_by_its_own_id_and_printed_in_full(tmp_path):
    one = "tests/test_it.py::test_red_with_parameters[2] | python -m bench.it --seed 2 | 2 | 2 in place of 0 | issue 1"
    done = run(tmp_path, [one], TESTS.replace("[1, 2]", "[0, 2]").replace("assert False", "assert True"))
    assert done.returncode == 0, done.stdout
    assert "3 passed, 1 deselected" in done.stdout
    assert "[2]: 2 in place of 0 (issue 1; replay: python -m bench.it --seed 2, seed 2)" in done.stdout


def test_a_test_listed_as_failing_at_times_may_pass_or_fail_and_is_printed_so(tmp_path):
    replayed = "tests/test_it.py::test_red_too | python -m bench.it --seed 3 | 3 | late | issue 1 | at times"
    done = run(tmp_path, [f"{RED} | at times", replayed, PARAMETERS], TESTS + GREEN)
    assert done.returncode == 0, done.stdout
    assert "failed, listed: tests/test_it.py::test_red\n" in done.stdout
    assert "passed, listed: tests/test_it.py::test_red_too\n" in done.stdout
    assert "test_red_too: late (issue 1; replay: python -m bench.it --seed 3, seed 3)" in done.stdout
    assert "1 passed, 4 deselected" in done.stdout and "test_red_with_parameters: so is this" in done.stdout


def test_without_a_list_all_must_pass(tmp_path):
    assert run(tmp_path, None, GREEN).returncode == 0
