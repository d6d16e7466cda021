"""Start of one router process, configured by the file that the environment variable RELAY_CONFIG names."""

from __future__ import annotations

import gc
import os
import sys
from collections.abc import Callable
from typing import Any, NoReturn

from wickhinge.common.process_signals import received_signals
from wickhinge.common.start_attempts import ShutdownRequestedError, StartAttempts, StartFailedError
from wickhinge.fields import MalformedError, UnreadableFileError
from wickhinge.net.runtime import deferred_imports

EXIT_OK = 0
EXIT_UNUSABLE = 2  # The configuration, the options or the listening address cannot be used.


def main(path: str | None = None) -> int:
    """Run a router until it ends and return the exit code.

    Args:
        path: Options file; None for the file that WICKHINGE_OPTIONS names, or no options if that is not set.
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
    """Flush the output and end the process at once.

    A normal exit of the interpreter frees every object first, which takes 0.15 s of a whole core, and the platform does
    not delay its SIGKILL for that.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def run(options_path: str | None) -> None:
    """Start a router and serve until a signal ends it.

    Raises:
        MalformedError: A key of the configuration or the options is invalid; retrying would not help.
        StartFailedError: A step of the start failed until the time limit.
        ShutdownRequestedError: A signal requested the shutdown before the router was built.
    """
    # Imported objects stay alive, so a collection would free nothing. ProcessReport runs the collector when necessary.
    gc.disable()
    deferred_imports.install()
    from wickhinge.net.runtime.loop import install

    attempts = StartAttempts(received_signals)
    reactor = attempts.run(install)
    router = attempts.run(lambda: build(reactor, options_path))
    router.start()

    def handle_signals() -> None:
        if received_signals.shutdown_requested:
            router.drain(received_signals.shutdown_not_requested_before)
        else:
            router.reload(received_signals.reload_number)

    reactor.call_before_polls(received_signals.record_turn_start)
    received_signals.deliver_to(reactor, reactor.wake_descriptor, handle_signals)
    reactor.run(installSignalHandlers=False)
    if router.start_failure is not None:
        raise router.start_failure


def build(reactor: Any, options_path: str | None) -> Any:
    """Return a RouterProcess built from the current files.

    The returned router carries out each reload that is requested from the start of this call on.

    Raises:
        UnreadableFileError: A file is absent or incomplete; a later try may succeed.
        OSError: A system call failed; a later try may succeed.
        MalformedError: A key is invalid; the message names it.
    """
    from wickhinge.net.control import config
    from wickhinge.net.control.reloads import ReloadContext
    from wickhinge.net.control.router_process import RouterProcess

    last_handled_reload = received_signals.reload_number
    configuration = config.read(os.environ)
    if not options_path:
        return RouterProcess(configuration, reactor, reloading=ReloadContext(None, last_handled_reload))
    read_options = options_reader(options_path)
    return RouterProcess(
        configuration,
        reactor,
        options=read_options().options,
        reloading=ReloadContext(read_options, last_handled_reload, options_path),
    )


def options_reader(path: str) -> Callable[[], Any]:
    """Return a function that returns the LoadedOptions that the file holds at the time of the call.

    The function raises MalformedError if a key is invalid, and UnreadableFileError if the file is absent or incomplete,
    so that a later try may succeed.
    """
    from wickhinge.options.load import OptionsFile

    file = OptionsFile(path)
    return lambda: read_options(file)


def read_options(file: Any) -> Any:
    """Return the LoadedOptions that an OptionsFile holds now.

    Raises:
        MalformedError: A key is invalid; the message names it.
        UnreadableFileError: The file is absent or incomplete; a later try may succeed.
    """
    from wickhinge.options import OptionsError, UnreadableOptionsError

    try:
        return file.load()
    except UnreadableOptionsError as problem:
        raise UnreadableFileError(str(problem)) from None
    except OptionsError as problem:
        raise MalformedError(str(problem)) from None
