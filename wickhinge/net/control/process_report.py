"""The `report` line, every five seconds, and the rare run of the garbage collector."""

from __future__ import annotations

import gc
import resource
import typing
from collections.abc import Callable, Mapping
from typing import Any

from wickhinge.common.failed_calls import failed_calls
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.runtime.deadlines import Deadlines

REPORT_INTERVAL_S = 5.0
COLLECT_OVER_SHARE = 0.7  # of the memory limit
PEAK_STEP_KB = 5000  # by which the peak has to rise before the next collection
# More than at the last collection, 5 MB of them: by the peak alone a second one came only past a limit of 32 MB.
MAX_NEW_OBJECTS = 25_000


class Reporting(typing.Protocol):
    """An optional subsystem with figures of its own in the report."""

    def report_fields(self) -> dict[str, Any]:
        """Its entry in the report."""


class ProcessReport:
    """Writes the report and keeps the process within its memory."""

    def __init__(
        self,
        clients: ClientConnections,
        decisions: Any,
        log: Callable[..., None],
        memory_mb: int,
        optional: Mapping[str, Reporting],
    ) -> None:
        """Parameters as named; optional: the subsystems that are on, by their names in the report."""
        self._clients, self._decisions, self._log, self._optional = clients, decisions, log, optional
        self._requests = clients.request_table
        self._attempts = self._requests.attempts
        self._pools = self._attempts.pools
        self._deadlines: Deadlines = clients.deadlines
        self._loop: Any = self._deadlines.reactor  # the loop's own Reactor
        self._collect_over_kb = int(memory_mb * 1000 * COLLECT_OVER_SHARE)

    def start(self) -> None:
        """Writes the first report after an interval, and all that follow."""
        self._deadlines.call_after(REPORT_INTERVAL_S, self._report)

    def _report(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._collect(usage.ru_maxrss)
        self._log(
            "report",
            user=round(usage.ru_utime, 3),
            system=round(usage.ru_stime, 3),
            peak_kb=usage.ru_maxrss,
            late_ms=round(self._deadlines.take_max_lateness() * 1000, 1),
            deadlines=len(self._deadlines.heap),
            failed_calls=failed_calls.counts,
            event_loop_stalls=self._loop.stalls.report(),
            **self._client_figures(),
            **self._server_figures(),
            **{name: subsystem.report_fields() for name, subsystem in self._optional.items()},
        )
        self._deadlines.call_after(REPORT_INTERVAL_S, self._report)

    def _client_figures(self) -> dict[str, Any]:
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
        }

    def _server_figures(self) -> dict[str, Any]:
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

    def _collect(self, peak_kb: int) -> None:
        """A collection takes 70 ms: rare, and better than being killed for memory."""
        if peak_kb > self._collect_over_kb or gc.get_count()[0] > MAX_NEW_OBJECTS:
            objects = gc.collect()
            self._collect_over_kb = peak_kb + PEAK_STEP_KB
            self._log("garbage_collected", objects=objects)
