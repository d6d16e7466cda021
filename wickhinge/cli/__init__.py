"""The command line of Wickhinge. Its entry point `main` is the console script and serves `python -m wickhinge COMMAND`.

Exit codes: 0 success; 1 the command ran and found a fault; 2 arguments, settings or a directory cannot be used.
"""

from wickhinge.cli import changelog, lab, peers, remembered_list, store, trace
from wickhinge.cli.commands import main

__all__ = ["changelog", "lab", "main", "peers", "remembered_list", "store", "trace"]
