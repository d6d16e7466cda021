"""The plain start: one router on sockets, told what it is by RELAY_CONFIG."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import Any

from wickhinge.fields import Malformed
from wickhinge.net.runtime import deferred_imports

UNUSABLE = 2  # exit code: settings, options or the address cannot be used


def main(path: str | None = None) -> int:
    """Runs a router to its end; returns the exit code.

    path: of our own settings, if the installation has any; else what WICKHINGE_OPTIONS names, if anything.
    """
    # A reload may be asked for before there is anything to reload; unhandled, it would end the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()  # what is imported stays; the router decides later when the collector runs
    deferred_imports.install()
    from twisted.internet.main import installReactor

    from wickhinge.net.runtime.loop import Reactor

    reactor = Reactor()
    installReactor(reactor)
    from wickhinge.net.control import config
    from wickhinge.net.control.router_process import RouterProcess

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    try:
        node = RouterProcess(config.read(os.environ), reactor, options=read_options(path) if path else None)
        if path:
            node.reread = lambda: read_options(path)
        node.start()
    except Malformed as problem:
        sys.stderr.write(f"{problem}\n")
        return UNUSABLE
    except OSError as problem:
        return address_unusable(problem)
    # The handler runs between two turns of the reactor, never inside a call.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(node.leave))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reload))
    reactor.run(installSignalHandlers=False)
    return 0 if node.unusable is None else address_unusable(node.unusable)


def read_options(path: str) -> Any:
    """Our own settings as the file has them now. Raises Malformed with the faulty key."""
    from wickhinge.options import OptionsError, load

    try:
        return load(path)
    except OptionsError as problem:
        raise Malformed(str(problem)) from None


def address_unusable(problem: OSError) -> int:
    sys.stderr.write(f"config: field listen: {problem}\n")
    return UNUSABLE
