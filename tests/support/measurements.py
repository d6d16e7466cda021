"""The measurements' short forms, several side by side: each is mostly waiting."""

import subprocess
import sys
from pathlib import Path

import orjson

ROOT = Path(__file__).parents[2]


def run_in_parallel(**commands):
    """Last lines by name, of `python -m COMMAND --json` each."""
    started = {
        name: subprocess.Popen(
            [sys.executable, "-m", *command.split(), "--json"], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        for name, command in commands.items()
    }
    told = {}
    for name, child in started.items():
        out, problem = child.communicate(timeout=150)
        assert child.returncode == 0, problem.decode()
        told[name] = orjson.loads(out.splitlines()[-1])
    return told
