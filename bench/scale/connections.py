"""Costs of one router's connections to caches, their descriptors, and its log lines."""

from __future__ import annotations

import os
from types import SimpleNamespace
from typing import Any

from bench.scale.meter import Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.net.downstream import descriptors
from wickhinge.net.runtime.buffers import BufferPool
from wickhinge.net.runtime.log import MAX_QUEUED_LINES, Log
from wickhinge.net.upstream.connection_pools import MAX_CONNECTIONS_PER_SERVER, UpstreamConnection

BUFFER_POOL_BYTES = 1 << 20
LOG_LINE_FIELDS = {"machine": "s-00c41f7a", "verdict": "lost", "witnesses": 3}


def upstream_connections(caches: int) -> list[Any]:
    """Return the most connections that a router may keep to `caches` caches, without their sockets."""
    owner = SimpleNamespace(
        buffer_pool=BufferPool(BUFFER_POOL_BYTES, lambda: None, lambda: None),
        deadlines=SimpleNamespace(now=lambda: 0.0),
    )
    machine = SimpleNamespace(pools=owner)
    return [UpstreamConnection(machine) for _ in range(MAX_CONNECTIONS_PER_SERVER * caches)]


def descriptors_needed(caches: int) -> float:
    """Return the descriptor limit at which each cache may have all of its connections."""
    return descriptors.LIMIT_PER_UPSTREAM_DESCRIPTOR * MAX_CONNECTIONS_PER_SERVER * caches


def connection_rows(meter: Meter) -> list[Row]:
    caches = meter.sizes(5, 14, 60, 200, 710)
    memory = [memory_bytes(lambda size=size: upstream_connections(size)) for size in caches]
    connection_limits = [float(MAX_CONNECTIONS_PER_SERVER * size) for size in caches]
    descriptor_limits = [float(descriptors_needed(size)) for size in caches]
    return [
        row(
            "connections", "router", "memory", "caches of a zone", caches, memory, "B", "virtual", "tracemalloc of Line"
        ),
        row(
            "connections",
            "router",
            "state",
            "caches of a zone",
            caches,
            connection_limits,
            "connections",
            "computed",
            f"at most {MAX_CONNECTIONS_PER_SERVER} a cache",
        ),
        row(
            "descriptors",
            "router",
            "state",
            "caches of a zone",
            caches,
            descriptor_limits,
            "descriptors",
            "computed",
            "descriptors.descriptor_limits: a third is for machines",
        ),
    ]


def log_with_unread_lines(count: int) -> Log:
    """Return a log whose reader has stopped reading, after `count` lines."""
    reader, writer = os.pipe()
    log = Log(writer, "router-0001", lambda: 1.7e9)
    os.close(reader)
    log.flush = lambda: None
    for _ in range(count):
        log.event("told", **LOG_LINE_FIELDS)
    os.close(writer)
    return log


def log_rows(meter: Meter) -> list[Row]:
    sizes = meter.sizes(250, 500, 1000, 2000, 4000)
    with open(os.devnull, "wb", buffering=0) as null_device:
        log = Log(null_device.fileno(), "router-0001", lambda: 1.7e9)

        def write_lines(count: int) -> None:
            for _ in range(count):
                log.event("told", **LOG_LINE_FIELDS)

        cpu = [meter.cpu_s_per_call(lambda size=size: write_lines(size), 1) for size in sizes]
    length = len(log_with_unread_lines(1).lines[0])
    bytes_per_s = [float(length * size) for size in sizes]
    memory = [memory_bytes(lambda size=size: log_with_unread_lines(size)) for size in sizes]
    return [
        row("log", "router", "cpu", "lines/s", sizes, cpu, "core", "virtual", "thread CPU, written to /dev/null"),
        row("log", "router", "bytes", "lines/s", sizes, bytes_per_s, "B/s", "virtual", "lines of told"),
        row(
            "log",
            "router",
            "memory",
            "lines unread",
            sizes,
            memory,
            "B",
            "virtual",
            f"tracemalloc; {MAX_QUEUED_LINES} lines are kept at most",
        ),
    ]


def rows(meter: Meter) -> list[Row]:
    return [*connection_rows(meter), *log_rows(meter)]
