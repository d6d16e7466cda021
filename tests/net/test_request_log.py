"""The log lines about requests, stalls and clock steps, and the trace command that prints them."""

import json
import os
import signal
import time

import pytest
from click.testing import CliRunner

from wickhinge.cli import main
from wickhinge.clocks import WallClockWatch
from wickhinge.net.runtime.event_loop_stalls import EventLoopStalls
from wickhinge.net.upstream.attempt_results import AttemptResult
from wickhinge.net.upstream.request_log import (
    MAX_BURST_LINES,
    MAX_STEPS,
    SERVED_SAMPLE_INTERVAL,
    RequestLog,
    RequestTrace,
    Step,
)

RID = b"9b1f03aa5c7e2d41"


class LogLines(list):
    """A log function that keeps the events."""

    def __call__(self, event, **fields):
        self.append({"event": event, **fields})


def log_end(log, end="denied", reason="late", now=1.0, trace=None):
    log.log_end(now, RID, end, reason, trace or RequestTrace(0.0, 0.0))


def test_unserved_requests_when_there_are_many_are_all_counted_and_logged_up_to_the_limit():
    lines = LogLines()
    log = RequestLog(lines)
    for _ in range(200):
        log_end(log)
    assert len(lines) == MAX_BURST_LINES and log.unlogged_count == 200 - MAX_BURST_LINES
    assert log.unserved_by_reason == {"late": 200}
    log_end(log, now=1.5)
    assert len(lines) == MAX_BURST_LINES + 1


def test_served_requests_are_sampled_for_the_log_and_not_counted_as_unserved():
    lines = LogLines()
    log = RequestLog(lines)
    for _ in range(3 * SERVED_SAMPLE_INTERVAL):
        log_end(log, "honoured", "")
    assert len(lines) == 3 and log.unserved_by_reason == {}


def test_logged_steps_name_server_source_budget_and_end():
    lines = LogLines()
    trace = RequestTrace(10.0, 0.05)
    trace.add(10.001, Step.SENT, 0xA1, (2949, 0xB2))
    trace.add(10.3, Step.ENDED, 0xA1, (AttemptResult.ERROR, b"detail=s,ttfb=12"))
    trace.add(10.4, Step.CLIENT_LEFT, 0, "aborted")
    log_end(RequestLog(lines), now=10.5, trace=trace)
    assert lines[0]["unread_ms"] == 50.0 and lines[0]["ms"] == 500.0
    assert lines[0]["steps"] == [
        {"ms": 1.0, "step": "sent", "server": "000000a1", "budget_ms": 2949, "source": "000000b2"},
        {"ms": 300.0, "step": "ended", "server": "000000a1", "end": "err", "detail": "s", "ttfb": "12"},
        {"ms": 400.0, "step": "client left", "why": "aborted"},
    ]


def test_trace_when_a_request_has_too_many_steps_keeps_the_first_and_counts_the_rest():
    trace = RequestTrace(0.0, 0.0)
    for _ in range(MAX_STEPS + 5):
        trace.add(0.0, Step.SENT, 1, (1, 0))
    assert len(trace.log_steps()) == MAX_STEPS and trace.dropped_steps == 5


@pytest.mark.parametrize("step_s", [-3600.0, -3.0, 3.0])
def test_wall_clock_step_is_detected_once_and_drift_is_not_a_step(step_s):
    watch = WallClockWatch(1e9, 50.0)
    assert watch.detect_step(1e9 + 0.501, 50.5) == 0.0
    assert watch.detect_step(1e9 + 1.0 + step_s, 51.0) == pytest.approx(step_s, abs=0.01)
    assert watch.detect_step(1e9 + 1.5 + step_s, 51.5) == 0.0


def test_stalls_in_waits_and_turns_are_logged_and_the_counts_start_again_after_a_report():
    lines = LogLines()
    meter = EventLoopStalls()
    meter.log_to(lines)
    meter.record_wait(0.0, 0.25, 0.25)  # The wait ended in time.
    meter.record_wait(0.26, 0.25, 1.01)  # The wait ended half a second late.
    meter.record_wait(1.31, None, 9.0)  # The turn took 0.3 s; a wait without a time limit is never late.
    assert meter.report() == {"count": 2, "longest_ms": 500, "total_ms": 800}
    assert [line["where"] for line in lines] == ["wait", "turn"]
    assert meter.report()["count"] == 0


def test_trace_command_when_a_request_was_rejected_prints_its_steps(stand, tmp_path):
    made = stand()
    client = made.client()
    rid = "00000000000000f1"
    call = client.ask("pages", rid=rid, budget="900")
    assert made.accept_connection(0).next_request() is not None
    assert client.answer(call)[2][0] == "Overloaded"
    line = made.router.wait(rid)
    assert json.loads(line)["reason"] == "deadline exceeded"
    log = tmp_path / "router.log"
    log.write_text("cut off in the mid\n" + line)
    result = CliRunner().invoke(main, ["trace", rid, str(log)])
    assert result.exit_code == 0
    assert "denied deadline exceeded" in result.output and "sent" in result.output and "000000a1" in result.output
    assert json.loads(CliRunner().invoke(main, ["trace", rid, str(log), "--json"]).output)[0]["rid"] == rid
    assert CliRunner().invoke(main, ["trace", "0" * 16, str(log)]).exit_code == 1


def test_router_logs_a_stall_and_a_wall_clock_step(faulty_stand):
    made, shim = faulty_stand()
    shim.step_wall_clock(-2.0)
    assert -2.1 < json.loads(made.router.wait("wall_clock_stepped"))["by_s"] < -1.9
    pid = made.router.child.pid
    os.kill(pid, signal.SIGSTOP)
    os.waitid(os.P_PID, pid, os.WSTOPPED)
    made.router.child.poll()
    time.sleep(0.7)
    os.kill(pid, signal.SIGCONT)
    assert json.loads(made.router.wait("event_loop_stalled"))["duration_ms"] >= 400


def test_trace_command_when_a_log_has_the_old_field_names_prints_them(tmp_path):
    (tmp_path / "log").write_text(json.dumps({"event": "request", "rid": "00a1", "tariff": "pages", "patience": 3000}))
    result = CliRunner().invoke(main, ["trace", "00a1", str(tmp_path / "log")])
    assert result.exit_code == 0 and "tariff pages, patience 3000" in result.output
