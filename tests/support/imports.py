"""Which modules a start of the program imports."""

import os
import re
import subprocess
import sys

from tests.support.processes import ROOT

IMPORTED = re.compile(r"import time: +\d+ \| +\d+ \| +(\S+)")


def modules_imported_at_start():
    """The modules that a plain start has executed when the router says `start`."""
    child = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "wickhinge"],
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": "example/config.json"},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert '"event":"router_started"' in child.stdout.readline()
    finally:
        child.kill()
        told = child.communicate()[1]
    return set(IMPORTED.findall(told))
