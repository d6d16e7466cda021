"""The program `python -m wickhinge`: without arguments it runs one router; otherwise it is the command line."""

from __future__ import annotations

import sys
from typing import NoReturn

from wickhinge.common.process_signals import received_signals

# First arguments of the commands that shut down gracefully on a signal. Other commands are ended by it at once.
GRACEFUL_COMMANDS = ([], ["run"], ["changelog", "replica"], ["changelog", "relay"])


def main() -> NoReturn:
    """Run the command, and end the process with its exit code."""
    if any(sys.argv[1 : 1 + max(len(words), 1)] == words for words in GRACEFUL_COMMANDS):
        # Signals that arrive during the slow imports below must not be lost.
        received_signals.install()
    if len(sys.argv) > 1:
        from wickhinge.cli import main as command

        command(prog_name="wickhinge")
    from wickhinge.net.control import start

    start.exit_process(start.main())


if __name__ == "__main__":
    main()
