"""The present design: hollow routers that each watch one service by TCP.

    python -m bench.scale.fleet_flat PLAN PLACE    hollow routers, on the router's own `net.control.endpoint_watch`

A region's cut is played at the routers: its connections stand still, and no new one comes up, until the reunion. A
setting is a list change of one machine. Headers: 20 bytes of IP, 32 of TCP with time stamps, each segment either way as
the kernel counted it.
"""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path
from struct import Struct
from typing import Any

from bench.scale.fleet_hollow import READY_LINE
from bench.scale.fleet_network import Network, is_link_cut
from bench.scale.fleet_recorder import Recorder
from bench.scale.fleet_records import SAMPLE_INTERVAL_S, Plan, Router, read, write
from wickhinge.net.control.endpoint_watch import EndpointRecord, EndpointWatch, WatchConnection, WatchSettings
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.loop import install

CONNECT_TIMEOUT_S = 0.4
IP_AND_TCP_HEADER_BYTES = 52  # bytes of a segment's headers
HANDSHAKE_SEGMENTS = 3
SERVICE_REGION = 0
TCP_INFO_BYTES = 144
TCP_INFO_COUNTERS = Struct("=QII")  # of struct tcp_info: tcpi_bytes_received, tcpi_segs_out, tcpi_segs_in
TCP_INFO_COUNTERS_OFFSET = 128


class TcpTotals:
    """Messages and bytes of a connection, as the kernel counts them."""

    def __init__(self, connection: socket.socket) -> None:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        received, segments_out, segments_in = TCP_INFO_COUNTERS.unpack_from(info, TCP_INFO_COUNTERS_OFFSET)
        self.bytes = received + IP_AND_TCP_HEADER_BYTES * (segments_out + segments_in)


class CutWatch(EndpointWatch):
    """A watch whose connection stands still, and does not come up again, while `cut()`."""

    def __init__(self, *arguments: Any, group: FlatGroup, router: Router) -> None:
        super().__init__(*arguments)
        self._group, self._router = group, router
        self.frame_count = self.connection_count = 0
        self._ended_connections_bytes = 0  # of connections that ended

    def is_cut_off(self) -> bool:
        schedule = self._group.network.schedule
        if schedule is None:
            return False
        return is_link_cut(schedule.cuts, SERVICE_REGION, self._router.region, time.monotonic())

    def start(self, after_round: int | None = None) -> None:
        if not self.is_cut_off():
            super().start(after_round)
            return
        if after_round in (None, self.connect_round):
            self.connect_round += 1
            self.deadlines.call_after(CONNECT_TIMEOUT_S, self.retry, "no answer", self.connect_round)

    def handle_connected(self, connection: WatchConnection) -> None:
        super().handle_connected(connection)
        self.connection_count += 1

    def drop_connection(self, connection: WatchConnection, reason: str) -> None:
        self._add_ended_connection(connection)
        super().drop_connection(connection, reason)

    def receive_data(self, connection: WatchConnection, data: bytes) -> None:
        if self.is_cut_off():
            connection.transport.pauseProducing()
            return
        super().receive_data(connection, data)

    def apply_frame(self, number: int, kind: int, payload: bytes) -> None:
        self.frame_count += 1
        super().apply_frame(number, kind, payload)

    def total_bytes(self) -> int:
        return self._ended_connections_bytes + (
            0 if self.connection is None else self._connection_bytes(self.connection)
        )

    def _add_ended_connection(self, connection: WatchConnection) -> None:
        self._ended_connections_bytes += self._connection_bytes(connection)

    def _connection_bytes(self, connection: WatchConnection) -> int:
        try:
            return TcpTotals(connection.transport.getHandle()).bytes
        except OSError:
            return 0


class RecordingListener:
    """Records when a router heard of each event."""

    def __init__(self, recorder: Recorder, place: int) -> None:
        self._recorder, self._place = recorder, place
        self.watch: CutWatch | None = None  # known once it is made

    def endpoints_changed(self, records: list[EndpointRecord], *, complete: bool) -> None:
        self._record_applied(-records[0].endpoint_id)

    def purged(self, key: int | None, group: int, stamp_ms: int) -> None:
        self._record_applied(key)

    def caught_up(self) -> None:
        pass

    def _record_applied(self, identity: int | None) -> None:
        self._recorder.record_applied(self._place, self.watch.last_number + 1, identity, time.monotonic())


class FlatGroup:
    """The routers of one process, sampled every SAMPLE_INTERVAL_S until the schedule's end."""

    def __init__(self, plan: Plan, place: int, reactor: Any) -> None:
        self._plan, self._reactor = plan, reactor
        self.network = Network(plan)
        self._path = Path(plan.folder) / f"flat-{place}.json"
        self._recorder = Recorder(plan.groups[place])
        self._has_started = [False] * len(plan.groups[place])
        deadlines = Deadlines(reactor, lambda text: print(text, file=sys.stderr))
        self._watches = [self._make_watch(number, one, deadlines) for number, one in enumerate(plan.groups[place])]
        self._is_ready = False

    def _make_watch(self, place: int, router: Router, deadlines: Deadlines) -> CutWatch:
        settings = WatchSettings((self._plan.service_host, self._plan.service_port), 0, CONNECT_TIMEOUT_S)
        recording = RecordingListener(self._recorder, place)
        watch = CutWatch(
            self._reactor, deadlines, settings, recording, lambda event, **fields: None, group=self, router=router
        )
        recording.watch = watch
        return watch

    def start(self) -> None:
        self.network.watch_for_schedule(self._reactor)
        for watch in self._watches:
            watch.start()
        self._sample()

    def _sample(self) -> None:
        now, schedule = time.monotonic(), self.network.schedule
        if schedule is not None and now >= schedule.end:
            write(self._path, self._recorder.report(0, 0))
            self._reactor.stop()
            return
        self._reactor.callLater(SAMPLE_INTERVAL_S, self._sample)
        if not self._is_ready and all(watch.connection is not None for watch in self._watches):
            self._is_ready = True
            print(READY_LINE, flush=True)
        if schedule is not None:
            messages = [watch.frame_count + watch.connection_count for watch in self._watches]
            sizes = [watch.total_bytes() for watch in self._watches]
            # The present design sets no limit where it has heard nothing for long: any copy passes.
            self._recorder.record_sample(now, [None] * len(sizes), messages, sizes)


def main() -> None:
    reactor = install()
    group = FlatGroup(read(Path(sys.argv[1]), Plan), int(sys.argv[2]), reactor)
    reactor.callWhenRunning(group.start)
    reactor.run()


if __name__ == "__main__":
    main()
