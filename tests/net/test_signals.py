"""SIGHUP, SIGINT and SIGTERM at each phase of a router's life: no request by a signal is lost, and the exit code is 0.

The tests guard three phases in which the program's own handlers may not be in force:

- From `exec` to the program's first line (46 to 67 ms), the default action of a signal would end it with exit code -1.
- Until the handlers are installed, a SIGHUP would be ignored. A reload requested after the configuration had been read
  would never be done: no `config_reloaded` in the log, and no connection to the new discovery service.
- After the event loop has ended, the interpreter restores the default actions of handled signals. With a SIGHUP each
  0.7 ms from SIGTERM on, 96 of 96 runs ended with exit code -1.
"""

import os
import signal
import threading
import time

import pytest

from tests.support.running_router import wait_until

SIGNAL_INTERVAL_S = 0.0007
PROMPT_REACTION_S = 3.0  # Well below the duration of an undisturbed start.


def test_reload_requested_while_the_start_reads_the_configuration_is_done(router):
    """The configuration is a pipe at first, so that the program is blocked in reading it when the signal arrives."""
    os.mkfifo(router.config_file)
    router.launch()
    with open(router.config_file, "wb") as pipe:  # Opening blocks until the program reads.
        old_text = router.configuration().encode()
        pipe.write(old_text[: len(old_text) // 2])
        pipe.flush()
        router.replace_config(router.configuration(router.other_service))
        router.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        pipe.write(old_text[len(old_text) // 2 :])
    assert router.other_service.answer_next_watch()
    router.wait_for_output('"event":"config_reloaded"')


@pytest.mark.parametrize("delay_s", [0.0, 0.005, 0.02, 0.05])
def test_reload_requested_before_the_handlers_are_installed_does_not_end_the_program(router, delay_s):
    router.replace_config(router.configuration())
    router.launch()
    time.sleep(delay_s)
    router.send_signal(signal.SIGHUP)
    assert router.service.answer_next_watch()
    router.wait_for_output('"event":"listener_opened"')
    router.send_signal(signal.SIGTERM)
    assert router.wait_for_exit() == 0


def test_start_during_a_series_of_reloads_ends_with_the_newest_configuration(router):
    router.replace_config(router.configuration())
    router.launch()
    for _ in range(60):
        router.send_signal(signal.SIGHUP)
        time.sleep(0.004)
    router.replace_config(router.configuration(router.other_service))
    router.send_signal(signal.SIGHUP)
    assert router.other_service.answer_next_watch()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("phase", ["import", "router_started", "listener_opened"])
def test_start_that_receives_a_shutdown_signal_exits_with_zero(router, number, phase):
    """With `import`, the signal arrives when the program has its handlers but has not read a configuration."""
    if phase == "import":
        os.mkfifo(router.config_file)
        router.launch()
        with open(router.config_file, "wb") as pipe:
            router.send_signal(number)
            pipe.write(router.configuration().encode())
    else:
        router.replace_config(router.configuration())
        router.launch()
        if phase == "listener_opened":
            router.service.answer_next_watch()
        router.wait_for_output(f'"event":"{phase}"')
        router.send_signal(number)
    assert router.wait_for_exit() == 0


def send_signals_until_exit(router, numbers):
    index = 0
    while router.child.poll() is None:
        router.send_signal(numbers[index % len(numbers)])
        index += 1
        time.sleep(SIGNAL_INTERVAL_S)


@pytest.mark.parametrize(
    "numbers",
    [[signal.SIGHUP], [signal.SIGTERM], [signal.SIGINT], [signal.SIGHUP, signal.SIGINT, signal.SIGTERM]],
    ids=["HUP", "TERM", "INT", "all"],
)
def test_signals_until_the_process_has_ended_leave_exit_code_zero(router, numbers):
    for _ in range(3):
        router.launch_and_wait()
        router.send_signal(signal.SIGTERM)
        send_signals_until_exit(router, numbers)
        assert router.wait_for_exit() == 0
        router.output_file.unlink()


def test_signals_until_a_failed_start_has_ended_leave_its_exit_code(router):
    router.replace_config('{"name": "n1", "listen": "x"}')
    router.launch()
    time.sleep(0.15)
    sender = threading.Thread(target=send_signals_until_exit, args=(router, [signal.SIGHUP]))
    sender.start()
    assert router.wait_for_exit() == 2
    sender.join()


def test_signal_to_an_idle_router_is_handled_at_once(router):
    """A signal between the check for pending calls and the wait for events must not be left until the wait ends."""
    router.launch_and_wait()
    for turn in range(10):
        time.sleep(0.02)
        start = time.monotonic()
        router.send_signal(signal.SIGHUP)
        wait_until(lambda count=turn + 1: router.read_output().count('"event":"config_reloaded"') >= count)
        assert time.monotonic() - start < 1.0
