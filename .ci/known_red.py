"""Runs the test suite, passing over exactly the tests that KNOWN-RED.txt lists.

A line of KNOWN-RED.txt: `test id | cause | issue`, for example
`tests/net/test_net.py::test_name | the pool is filled by slow readers | issue 38`,
or, for a case that a drawn run found, `test id | command | seed | what was seen | issue`, for example
`tests/bench/test_soak.py::test_seed[17] | python -m bench.soak --seed 17 | 17 | two answers to one request | issue 42`.
A line that ends in ` | at times` lists a test that fails in some runs only; it may pass or fail, and is printed as
`passed, listed` or `failed, listed`.

The run fails where the list is malformed or too long, where any other test fails, where a listed test does not exist,
and where one that is not listed as failing at times passes. Each listed test is printed with its cause. This file is
also the pytest plugin that deselects them.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LIST = "KNOWN-RED.txt"
MAX_LISTED = 10  # tests that may be listed at once
SEPARATOR = " | "
PASSED, FAILED = 0, 1  # pytest's exit codes where all tests passed, and where tests ran and some failed
AT_TIMES = "at times"  # last part of a line whose test fails in some runs only


class MalformedList(Exception):
    """KNOWN-RED.txt cannot be used; the text names the line."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails for a real fault which is not mended yet."""

    test: str  # its pytest node id; without parameters it stands for all of them
    cause: str  # or what was seen, where the cause is not known
    issue: str
    command: str = ""  # that replays a drawn case; "" where the test alone does
    seed: str = ""
    fails_at_times: bool = False  # whether it may also pass

    @classmethod
    def from_line(cls, line: str) -> KnownRed:
        """Raises ValueError where the line has neither form."""
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if not all(parts):
            raise ValueError("an empty part")
        fails_at_times = parts[-1] == AT_TIMES
        if fails_at_times:
            parts.pop()
        if len(parts) == len(("test", "cause", "issue")):
            test, cause, issue = parts
            return cls(test, cause, issue, fails_at_times=fails_at_times)
        test, command, seed, seen, issue = parts
        return cls(test, seen, issue, command, seed, fails_at_times)

    def __str__(self) -> str:
        replay = f"; replay: {self.command}, seed {self.seed}" if self.command else ""
        return f"{self.test}: {self.cause} ({self.issue}{replay})"

    def covers(self, node_id: str) -> bool:
        return node_id == self.test or node_id.startswith(f"{self.test}[")


def parse(text: str) -> list[KnownRed]:
    """Raises MalformedList."""
    listed = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        try:
            listed.append(KnownRed.from_line(line))
        except ValueError:
            raise MalformedList(
                f"{LIST}, line {number}: not of the form `test | cause | issue` "
                f"or `test | command | seed | what was seen | issue`, with or without `{SEPARATOR.strip()} {AT_TIMES}`"
            ) from None
    if len(listed) > MAX_LISTED:
        raise MalformedList(f"{LIST}: {len(listed)} tests are listed, {MAX_LISTED} at most may be")
    if len({known.test for known in listed}) < len(listed):
        raise MalformedList(f"{LIST}: a test is listed twice")
    return listed


def read(root: Path) -> list[KnownRed]:
    """What the repository lists; nothing where there is no list. Raises MalformedList."""
    path = root / LIST
    return parse(path.read_text()) if path.exists() else []


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    """The plugin's part: listed tests are deselected by their exact ids."""
    listed = read(Path(config.rootpath))
    passed_over = [item for item in items if any(known.covers(item.nodeid) for known in listed)]
    if passed_over:
        items[:] = [item for item in items if item not in passed_over]
        config.hook.pytest_deselected(items=passed_over)


def suite_command(arguments: Iterable[str]) -> list[str]:
    return [sys.executable, "-m", "pytest", "-q", *arguments]


def verdict(known: KnownRed, exit_code: int) -> str | None:
    """What is wrong with a listed test by the exit code of its own run; None: it ended as the list allows."""
    if exit_code == FAILED or exit_code == PASSED and known.fails_at_times:
        return None
    if exit_code == PASSED:
        return f"{LIST}: {known.test} passes: take it off the list"
    return f"{LIST}: {known.test} could not be run (pytest exit code {exit_code}): does it exist?"


def main(root: Path) -> int:
    """Exit code 0 where all tests but the listed ones pass, and the listed ones fail or may also pass."""
    try:
        listed = read(root)
    except MalformedList as problem:
        print(problem)
        return 2
    faults = []
    for known in listed:
        print(f"known red: {known}", flush=True)
        result = subprocess.run(suite_command(["-n", "0", known.test]), cwd=root, capture_output=True)
        if known.fails_at_times and result.returncode in (PASSED, FAILED):
            print(f"{'passed' if result.returncode == PASSED else 'failed'}, listed: {known.test}", flush=True)
        fault = verdict(known, result.returncode)
        if fault is not None:
            faults.append(fault)
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent)}
    suite = subprocess.run(suite_command(["-p", Path(__file__).stem]), cwd=root, env=environment)
    for fault in faults:
        print(fault)
    return suite.returncode or int(bool(faults))


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent.parent))
