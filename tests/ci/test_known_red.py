"""The test runner that passes over the tests listed in KNOWN-RED.txt, run on small repositories made for each test."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

RUNNER = Path(__file__).resolve().parents[2] / ".ci" / "known_red.py"
TEST_FILE = """
import pytest

def test_red():
    assert False

def test_red_too():
    assert True

@pytest.mark.parametrize("value", [1, 2])
def test_red_with_parameters(value):
    assert value == 0
"""
PASSING_TEST = "\ndef test_green():\n    assert True\n"
FAILING_LINE = "tests/test_it.py::test_red | it is broken | issue 1"
PARAMETRIZED_LINE = "tests/test_it.py::test_red_with_parameters | so is this | issue 1"


def run_listed(folder, listed, tests=TEST_FILE):
    """Run the runner in a new repository whose KNOWN-RED.txt has the lines `listed`; None makes no such file."""
    (folder / ".ci").mkdir()
    shutil.copy(RUNNER, folder / ".ci")
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text("\n".join(listed) + "\n")
    command = [sys.executable, folder / ".ci" / "known_red.py"]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_runner_when_tests_are_listed_passes_over_exactly_these_and_prints_them(tmp_path):
    result = run_listed(tmp_path, [FAILING_LINE, PARAMETRIZED_LINE])
    assert result.returncode == 0, result.stdout
    assert (
        "test_red: it is broken (issue 1)" in result.stdout and "test_red_with_parameters: so is this" in result.stdout
    )
    assert "1 passed, 3 deselected" in result.stdout  # The name test_red_too only begins like a listed one, so it ran.


@pytest.mark.parametrize(
    "listed, tests, message",
    [
        ([FAILING_LINE], TEST_FILE, "2 failed, 1 passed, 1 deselected"),  # Two unlisted tests fail.
        (None, TEST_FILE, "3 failed"),
        ([FAILING_LINE.replace("test_red", "test_green")], PASSING_TEST, "test_green passes: take it off the list"),
        ([FAILING_LINE.replace("test_red", "test_gone")], PASSING_TEST, "test_gone could not be run"),
        ([FAILING_LINE, FAILING_LINE], TEST_FILE, "listed twice"),
        (
            [f"{FAILING_LINE}{number}".replace("test_red", f"test_{number}") for number in range(11)],
            TEST_FILE,
            "10 at most",
        ),
        (["tests/test_it.py::test_red"], TEST_FILE, "line 1: not of the form"),
        (["tests/test_it.py::test_red | cause | seed | issue 1"], TEST_FILE, "line 1: not of the form"),
        (["tests/test_it.py::test_red | | 1 | seen | issue 1"], TEST_FILE, "line 1: not of the form"),
        (["tests/test_it.py::test_red | issue 1 | at times"], TEST_FILE, "line 1: not of the form"),
        ([f"{FAILING_LINE} | at times".replace("test_red", "test_gone")], PASSING_TEST, "test_gone could not be run"),
        ([f"{FAILING_LINE} | at times"], TEST_FILE, "2 failed, 1 passed, 1 deselected"),  # Two unlisted tests fail.
    ],
)
def test_runner_when_the_list_or_an_unlisted_test_is_faulty_fails_and_says_why(tmp_path, listed, tests, message):
    result = run_listed(tmp_path, listed, tests)
    assert result.returncode != 0 and message in result.stdout


def test_runner_when_one_parameter_set_is_listed_passes_over_it_alone_and_prints_its_replay(tmp_path):
    replayed = (
        "tests/test_it.py::test_red_with_parameters[2] | python -m bench.it --seed 2 | 2 | 2 in place of 0 | issue 1"
    )
    result = run_listed(
        tmp_path, [replayed], TEST_FILE.replace("[1, 2]", "[0, 2]").replace("assert False", "assert True")
    )
    assert result.returncode == 0, result.stdout
    assert "3 passed, 1 deselected" in result.stdout
    assert "[2]: 2 in place of 0 (issue 1; replay: python -m bench.it --seed 2, seed 2)" in result.stdout


def test_runner_when_a_test_is_listed_as_failing_at_times_lets_it_pass_or_fail_and_prints_which(tmp_path):
    replayed = "tests/test_it.py::test_red_too | python -m bench.it --seed 3 | 3 | late | issue 1 | at times"
    result = run_listed(tmp_path, [f"{FAILING_LINE} | at times", replayed, PARAMETRIZED_LINE], TEST_FILE + PASSING_TEST)
    assert result.returncode == 0, result.stdout
    assert "failed, listed: tests/test_it.py::test_red\n" in result.stdout
    assert "passed, listed: tests/test_it.py::test_red_too\n" in result.stdout
    assert "test_red_too: late (issue 1; replay: python -m bench.it --seed 3, seed 3)" in result.stdout
    assert "1 passed, 4 deselected" in result.stdout and "test_red_with_parameters: so is this" in result.stdout


def test_runner_when_there_is_no_list_passes_if_all_tests_pass(tmp_path):
    assert run_listed(tmp_path, None, PASSING_TEST).returncode == 0
