"""Lists the modules that the program imports when it starts."""

import os
import re
import subprocess
import sys

from tests.support.processes import ROOT

IMPORT_TIME_LINE = re.compile(r"import time: +\d+ \| +\d+ \| +(\S+)")


def modules_imported_at_start():
    """Return the names of the modules that a router without options has imported when it logs `router_started`."""
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
        import_times = child.communicate()[1]
    return set(IMPORT_TIME_LINE.findall(import_times))
