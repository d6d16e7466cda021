"""python -m wickhinge.wirehost: batches on standard input, replies on standard output."""

import sys

from wickhinge.fields import Malformed
from wickhinge.wirehost.host import run

try:
    run(sys.stdin.buffer, sys.stdout.buffer)
except Malformed as problem:
    sys.stderr.write(f"{problem}\n")
    sys.exit(1)
