"""Runs short forms of the benchmarks in parallel, since each of them mostly waits."""

import subprocess
import sys
from pathlib import Path

import orjson

ROOT = Path(__file__).parents[2]


def run_in_parallel(**commands):
    """Run `python -m COMMAND --json` for each command; return the last line of each one's output, decoded, by name."""
    children = {
        name: subprocess.Popen(
            [sys.executable, "-m", *command.split(), "--json"], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        for name, command in commands.items()
    }
    results = {}
    for name, child in children.items():
        output, errors = child.communicate(timeout=150)
        assert child.returncode == 0, errors.decode()
        results[name] = orjson.loads(output.splitlines()[-1])
    return results
