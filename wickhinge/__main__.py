"""python -m wickhinge: one router on sockets; with arguments, the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Returns the exit code."""
    if len(sys.argv) > 1:
        from wickhinge.cli import main as command

        command(prog_name="wickhinge")
    from wickhinge.net.control.start import main as start

    return start()


if __name__ == "__main__":
    sys.exit(main())
