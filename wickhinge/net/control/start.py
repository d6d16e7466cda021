"""The plain start: one router on sockets, told what it is by RELAY_CONFIG."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import Any

from wickhinge.fields import MalformedError
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
    from wickhinge.net.runtime.loop import install

    reactor = install()
    from wickhinge.net.control import config
    from wickhinge.net.control.router_process import RouterProcess

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    try:
        router = RouterProcess(
            config.read(os.environ),
            reactor,
            options=read_options(path) if path else None,
            read_options=lambda: read_options(path) if path else None,
        )
        router.start()
    except MalformedError as problem:
        sys.stderr.write(f"{problem}\n")
        return UNUSABLE
    except OSError as problem:
        return address_unusable(problem)
    # The handler runs between two turns of the reactor, never inside a call.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(router.drain))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(router.reload))
    reactor.run(installSignalHandlers=False)
    return 0 if router.unusable is None else address_unusable(router.unusable)


def read_options(path: str) -> Any:
    """Our own settings as the file has them now. Raises MalformedError with the faulty key."""
    from wickhinge.options import OptionsError, load

    try:
        return load(path)
    except OptionsError as problem:
        raise MalformedError(str(problem)) from None


def address_unusable(problem: OSError) -> int:
    """Says why on standard error; returns the exit code."""
    sys.stderr.write(f"config: field listen: {problem}\n")
    return UNUSABLE
