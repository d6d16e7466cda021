"""The `report` log line, written every REPORT_INTERVAL_S, and the rare runs of the garbage collector."""

from __future__ import annotations

import gc
import resource
from collections.abc import Callable, Mapping
from typing import Any

from wickhinge.common.failed_calls import failed_calls
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.memory_budget import peak_resident_bytes

REPORT_INTERVAL_S = 5.0
COLLECT_ABOVE_SHARE_OF_LIMIT = 0.7  # Peak memory that triggers the first collection, as a share of the memory limit.
PEAK_STEP_KB = 5000  # Increase of peak memory that triggers each further collection.
# Number of objects allocated since the last collection that triggers a collection; these take about 5 MB. With the peak
# as the only trigger, the second collection came only after a process with a limit of 32 MB had exceeded it.
MAX_NEW_OBJECTS = 25_000


class ProcessReport:
    """Writer of the report; also keeps the process within its memory limit."""

    def __init__(
        self,
        clients: ClientConnections,
        decisions: Any,
        log: Callable[..., None],
        memory_mb: int,
        optional: Mapping[str, Callable[[], Any]],
    ) -> None:
        """Create a report that is written from `start` on.

        Args:
            clients: Connections of all clients.
            decisions: Router of wickhinge.routing.
            log: Writer of log events.
            memory_mb: Memory limit of the process.
            optional: Functions that return further entries of the report, by the entries' names.
        """
        self._clients, self._decisions, self._log, self._optional = clients, decisions, log, optional
        self._requests = clients.request_table
        self._attempts = self._requests.attempts
        self._pools = self._attempts.pools
        self._deadlines: Deadlines = clients.deadlines
        self._reactor: Any = self._deadlines.reactor  # Reactor of wickhinge.net.runtime.loop.
        self._collect_above_kb = int(memory_mb * 1000 * COLLECT_ABOVE_SHARE_OF_LIMIT)

    def start(self) -> None:
        """Schedule the first report; each report schedules the next."""
        self._deadlines.call_after(REPORT_INTERVAL_S, self._write_report)

    def _write_report(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        peak_kb = peak_resident_bytes() // 1024
        self._collect_garbage_if_needed(peak_kb)
        self._log(
            "report",
            user=round(usage.ru_utime, 3),
            system=round(usage.ru_stime, 3),
            peak_kb=peak_kb,
            memory=self._clients.memory.report_fields(),
            late_ms=round(self._deadlines.take_max_lateness() * 1000, 1),
            deadlines=len(self._deadlines.heap),
            failed_calls=failed_calls.counts,
            event_loop_stalls=self._reactor.stalls.report(),
            **self._client_fields(),
            **self._server_fields(),
            **{name: report_entry() for name, report_entry in self._optional.items()},
        )
        self._deadlines.call_after(REPORT_INTERVAL_S, self._write_report)

    def _client_fields(self) -> dict[str, Any]:
        requests, clients = self._requests, self._clients
        return {
            "taken": requests.started_count,
            "open": requests.open_count(),
            "clients": len(clients.connections),
            "client_descriptors": clients.admission.open_descriptors,
            "answers": requests.answer_counts,
            "unserved": requests.request_log.unserved_by_reason,
            "unlogged": requests.request_log.unlogged_count,
            "closed": clients.close_counts,
            "faults": clients.take_fault_counts(),
            "clients_usage": clients.loop_usage.take_report(),
            "throttled": {"now": len(clients.fair_reading.throttled), "count": clients.fair_reading.throttled_count},
        }

    def _server_fields(self) -> dict[str, Any]:
        pools = self._pools
        return {
            "lines": sum(len(pool.connections) for pool in pools.pools_by_id.values()),
            "line_descriptors": pools.open_descriptors,
            "buffers": pools.buffer_pool.peak_in_use,
            "late_answers": pools.late_responses,
            "known": len(self._decisions.endpoints.servers),
            "machines": len(pools.pools_by_id),
            "objects": len(self._decisions.object_counts.entries),
        }

    def _collect_garbage_if_needed(self, peak_kb: int) -> None:
        """Run the garbage collector if the process comes near its memory limit or has allocated many objects.

        A collection stalls the router for 70 ms, so it is run rarely. Being killed for exceeding the limit is worse.
        """
        if peak_kb > self._collect_above_kb or gc.get_count()[0] > MAX_NEW_OBJECTS:
            objects = gc.collect()
            self._collect_above_kb = peak_kb + PEAK_STEP_KB
            self._log("garbage_collected", objects=objects)
