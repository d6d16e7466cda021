"""What one client uses of the event loop, as the log and the report tell it."""

from wickhinge.net.downstream.loop_usage import LOG_INTERVAL_S, MIN_LOGGED_S, RECENT_S, ClientUsage, LoopUsage


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def make_usage(clock, log):
    return LoopUsage(
        clock, lambda: {"deadline_waits_ms": 7, "data_waits_ms": 8}, lambda event, **fields: log.append((event, fields))
    )


def work(loop_usage, clock, usage, seconds):
    began_at = loop_usage.begin(usage)
    clock.now += seconds
    loop_usage.end(usage, began_at)


def test_client_that_keeps_the_loop_busy_is_logged_with_what_waits():
    clock, log = Clock(), []
    loop_usage, usage = make_usage(clock, log), ClientUsage()
    usage.address, usage.read_bytes, usage.message_count = "127.0.0.1:9", 100, 5
    work(loop_usage, clock, usage, 0.9 * MIN_LOGGED_S)
    assert log == []
    work(loop_usage, clock, usage, 0.9 * MIN_LOGGED_S)
    work(loop_usage, clock, usage, 0.9 * MIN_LOGGED_S)
    [(event, fields)] = log
    assert event == "client_busy"
    assert fields["client"] == "127.0.0.1:9"
    assert 1600 * MIN_LOGGED_S < fields["busy_ms"] < 1800 * MIN_LOGGED_S
    assert (fields["read_bytes"], fields["messages"]) == (100, 5)
    assert (fields["deadline_waits_ms"], fields["data_waits_ms"]) == (7, 8)
    clock.now += LOG_INTERVAL_S
    work(loop_usage, clock, usage, 2 * MIN_LOGGED_S)
    assert len(log) == 2


def test_recent_usage_is_gone_after_its_time():
    clock, usage = Clock(), ClientUsage()
    work(make_usage(clock, []), clock, usage, 0.02)
    assert round(usage.recent_at(clock.now), 6) == 0.02
    assert usage.recent_at(clock.now + RECENT_S / 2) < 0.011
    assert usage.recent_at(clock.now + RECENT_S) == 0.0


def test_report_names_the_busiest_clients_once():
    clock = Clock()
    loop_usage = make_usage(clock, [])
    usages = [ClientUsage() for _ in range(5)]
    for index, usage in enumerate(usages):
        usage.address = str(index)
        work(loop_usage, clock, usage, 0.02 * (index + 1))
    report = loop_usage.take_report()
    assert report["total_ms"] == 300
    assert report["busy_clients"] == 5
    assert [(entry["client"], entry["busy_ms"]) for entry in report["busiest"]] == [("4", 100), ("3", 80), ("2", 60)]
    assert loop_usage.take_report() == {"total_ms": 0, "busy_clients": 0, "busiest": []}


def test_work_for_a_client_within_the_work_for_another_is_counted_once():
    """An attempt that begins for one client may read the socket of the same client again."""
    clock = Clock()
    loop_usage, usage = make_usage(clock, []), ClientUsage()
    began_at = loop_usage.begin(usage)
    work(loop_usage, clock, usage, 0.02)
    clock.now += 0.01
    loop_usage.end(usage, began_at)
    assert round(usage.unreported_s, 6) == 0.03
