"""Copies of the router's own: a memory tier over a tier on disk, for installations whose disk lasts.

Entered by `store.Store`, which net/upstream/local_copies.py makes where the settings say `store.mode: "on"`, and asked
by `routing` through it. It never decides that a copy answers a request (`routing` does), never waits for a disk in the
reactor's thread, and never uses the network.

- Decisions, without I/O: admission, frequency, segments, write_rate_limiter, circuit_breaker, purges,
  purge_log_recovery, bandwidth.
- Bytes: file_format.
- Files, on worker threads: files, segment_files, purge_log, snapshots, volume.
- In the reactor's thread: store, and its parts lookup, writing, purging, compaction, snapshotting and recovery, which
  share the state in tier; workers runs their file calls.
- maintenance is what the command line does with a directory.
"""
