"""A reload is retried from its signal until it takes effect, a newer signal replaces it, or the shutdown begins.

Guards against a SIGHUP that causes only one try. If the file is absent, empty or cut off at that moment, as it is while
it is being written, the router would log `config_reload_failed` with "cannot be read" or "is not JSON", and would never
connect to the discovery service of the new file (seen in 3 of 3 runs).
"""

import json
import signal
import time

import pytest

MAX_LOG_LINES_OF_RELOAD = 3  # One line each for the request, the first failure and the outcome.


def logged_events(router, event):
    lines = [json.loads(line) for line in router.read_output().splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


def cut_off_inside_a_key(text):
    return text[: text.index('"journal"') + 4]


@pytest.mark.parametrize(
    "state, incomplete_for_s", [("absent", 0.4), ("empty", 0.6), ("cut off", 0.5), ("cut off", 2.5)]
)
def test_reload_when_the_file_becomes_complete_takes_effect(router, state, incomplete_for_s):
    router.launch_and_wait()
    complete_text = router.configuration(router.other_service)
    if state == "absent":
        router.config_file.unlink()
    else:
        router.config_file.write_text("" if state == "empty" else cut_off_inside_a_key(complete_text))
    router.send_signal(signal.SIGHUP)
    time.sleep(incomplete_for_s)
    assert not router.other_service.answer_next_watch(0.0)
    router.config_file.write_text(complete_text)
    assert router.other_service.answer_next_watch(3.0)
    router.wait_for_output('"event":"config_reloaded"')
    assert len(logged_events(router, "config_reload_failed")) == 1
    assert sum("config_reload" in line for line in router.read_output().splitlines()) <= MAX_LOG_LINES_OF_RELOAD


def test_second_reload_while_the_first_is_retried_replaces_it(router):
    router.launch_and_wait()
    router.config_file.write_text(cut_off_inside_a_key(router.configuration()))
    router.send_signal(signal.SIGHUP)
    router.wait_for_output('"event":"config_reload_failed"')
    router.replace_config(router.configuration(router.other_service))
    router.send_signal(signal.SIGHUP)
    assert router.other_service.answer_next_watch(3.0)
    assert not router.service.answer_next_watch(1.5)


def test_reload_of_a_complete_file_with_an_invalid_key_is_not_retried(router):
    """The router reads a complete file with an invalid key again only at the next signal."""
    router.launch_and_wait()
    invalid_configuration = json.loads(router.configuration(router.other_service)) | {"journal": 7}
    router.replace_config(json.dumps(invalid_configuration))
    router.send_signal(signal.SIGHUP)
    router.wait_for_output('"event":"config_reload_failed"')
    assert "journal" in router.read_output()
    router.replace_config(router.configuration(router.other_service))
    assert not router.other_service.answer_next_watch(1.5)
    router.send_signal(signal.SIGHUP)
    assert router.other_service.answer_next_watch()


def test_shutdown_while_a_reload_is_retried_ends_the_retries(router):
    router.launch_and_wait()
    router.config_file.unlink()
    router.send_signal(signal.SIGHUP)
    router.wait_for_output('"event":"config_reload_failed"')
    start = time.monotonic()
    router.send_signal(signal.SIGTERM)
    assert router.wait_for_exit() == 0
    assert time.monotonic() - start < 2.0
    router.replace_config(router.configuration(router.other_service))
    assert not router.other_service.answer_next_watch(0.0)


def test_report_says_whether_a_reload_is_still_retried_or_done(router):
    router.launch_and_wait()
    router.config_file.unlink()
    router.send_signal(signal.SIGHUP)
    router.wait_for_output('"event":"report"')
    assert logged_events(router, "report")[-1]["reloads"] == {"requested": 1, "done": 0, "failed": 0, "owed": True}
    router.replace_config(router.configuration(router.other_service))
    assert router.other_service.answer_next_watch(3.0)
    count = len(logged_events(router, "report"))
    router.wait_for_output('"event":"config_reloaded"')
    while len(logged_events(router, "report")) == count:
        time.sleep(0.1)
    assert logged_events(router, "report")[-1]["reloads"] == {"requested": 1, "done": 1, "failed": 0, "owed": False}
