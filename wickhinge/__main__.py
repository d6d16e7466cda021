"""python -m wickhinge: one router on sockets, told what it is by RELAY_CONFIG."""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from twisted.internet.main import installReactor

from wickhinge.fields import Malformed
from wickhinge.net import config
from wickhinge.net.loop import Reactor
from wickhinge.net.router import Node


def main(path: str | None = None) -> int:
    """path: of our own settings, if the installation has any; else what WICKHINGE_OPTIONS names, if anything."""
    # A reload may be asked for before there is anything to reload; unhandled, it would end the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    reactor = Reactor()
    installReactor(reactor)
    path = path or os.environ.get("WICKHINGE_OPTIONS")
    options = None
    if path:
        from wickhinge.options import Fault, load

        try:
            options = load(path)
        except Fault as problem:
            sys.stderr.write(f"{problem}\n")
            return 2
    try:
        node = Node(config.read(os.environ), reactor, options=options)
        if path:
            node.reread = lambda: reread(path)
        node.start()
    except Malformed as problem:
        sys.stderr.write(f"{problem}\n")
        return 2
    except OSError as problem:
        return unusable(problem)
    # The handler runs between two turns of the reactor, never inside a call.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(node.leave))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reload))
    reactor.run(installSignalHandlers=False)
    return 0 if node.unusable is None else unusable(node.unusable)


def reread(path: str) -> Any:
    """Our own settings anew. Raises Malformed with the faulty key."""
    from wickhinge.options import Fault, load

    try:
        return load(path)
    except Fault as problem:
        raise Malformed(str(problem)) from None


def unusable(problem: OSError) -> int:
    sys.stderr.write(f"config: field listen: {problem}\n")
    return 2


if __name__ == "__main__":
    if len(sys.argv) > 1:
        from wickhinge.cli import main as command

        command(prog_name="wickhinge")
    sys.exit(main())
