"""One command line over all of it. Entered by `main`, the console script and `python -m wickhinge WORD`.

Exit codes: 0 done, 1 something is wrong with what was looked at, 2 wrong arguments, settings or directory.
"""

from wickhinge.cli import changelog, lab, peers, remembered_list, store, trace
from wickhinge.cli.commands import main

__all__ = ["changelog", "lab", "main", "peers", "remembered_list", "store", "trace"]
