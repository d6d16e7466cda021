"""The program `python -m wickhinge.wirehost`: batches on standard input, replies on standard output."""

import sys

from wickhinge.fields import MalformedError
from wickhinge.wirehost.host import run

try:
    run(sys.stdin.buffer, sys.stdout.buffer)
except MalformedError as error:
    sys.stderr.write(f"{error}\n")
    sys.exit(1)
