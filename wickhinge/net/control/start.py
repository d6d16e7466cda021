"""The plain start: one router on sockets, told what it is by RELAY_CONFIG."""

from __future__ import annotations

import gc
import os
import sys
from typing import Any, NoReturn

from wickhinge.common.process_signals import received_signals
from wickhinge.common.start_attempts import ShutdownRequestedError, StartAttempts, StartFailedError
from wickhinge.fields import MalformedError, UnreadableFileError
from wickhinge.net.runtime import deferred_imports

EXIT_OK = 0
EXIT_UNUSABLE = 2  # settings, options or the address cannot be used


def main(path: str | None = None) -> int:
    """Runs a router to its end; returns the exit code.

    path: of our own settings, if the installation has any; else what WICKHINGE_OPTIONS names, if anything.
    """
    received_signals.install()
    try:
        run(path or os.environ.get("WICKHINGE_OPTIONS"))
    except ShutdownRequestedError:
        return EXIT_OK
    except (MalformedError, StartFailedError) as problem:
        sys.stderr.write(f"{problem}\n")
        return EXIT_UNUSABLE
    finally:
        received_signals.ignore()
    return EXIT_OK


def exit_process(code: int) -> NoReturn:
    """Ends the process at once, with what it has written.

    The interpreter would free every object first, for 0.15 s of a whole core, and the platform's kill does not wait.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def run(options_path: str | None) -> None:
    """Starts a router and serves until a signal ends it.

    Raises MalformedError for what is wrong for good, StartFailedError for what did not pass in time, and
    ShutdownRequestedError where a signal came before there was a router.
    """
    gc.disable()  # what is imported stays; the router decides later when the collector runs
    deferred_imports.install()
    from wickhinge.net.runtime.loop import install

    attempts = StartAttempts(received_signals)
    reactor = attempts.run(install)
    router = attempts.run(lambda: build(reactor, options_path))
    router.start()

    def heed_signals() -> None:
        if received_signals.shutdown_requested:
            router.drain(received_signals.shutdown_not_requested_before)
        else:
            router.reload(received_signals.reload_number)

    reactor.call_before_polls(received_signals.record_turn_start)
    received_signals.deliver_to(reactor, reactor.wake_descriptor, heed_signals)
    reactor.run(installSignalHandlers=False)
    if router.start_failure is not None:
        raise router.start_failure


def build(reactor: Any, options_path: str | None) -> Any:
    """A RouterProcess by the files as they stand now; a reload that is asked for from here on is done by it.

    Raises UnreadableFileError or OSError for what may pass, MalformedError with the faulty key.
    """
    from wickhinge.net.control import config
    from wickhinge.net.control.router_process import Reloading, RouterProcess

    answered_reloads = received_signals.reload_number
    return RouterProcess(
        config.read(os.environ),
        reactor,
        options=read_options(options_path) if options_path else None,
        reloading=Reloading(lambda: read_options(options_path) if options_path else None, answered_reloads),
    )


def read_options(path: str) -> Any:
    """Our own settings as the file has them now. Raises MalformedError with the faulty key, UnreadableFileError."""
    from wickhinge.options import OptionsError, UnreadableOptionsError, load

    try:
        return load(path)
    except UnreadableOptionsError as problem:
        raise UnreadableFileError(str(problem)) from None
    except OptionsError as problem:
        raise MalformedError(str(problem)) from None
