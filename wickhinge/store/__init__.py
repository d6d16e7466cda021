"""Local copies of object parts: a memory tier over a tier on disk, for installations whose disk outlives a restart.

net/upstream/local_copies.py creates `store.Store` where the settings have `store.mode: "on"`; `routing` looks copies up
through it. The store never decides that a copy answers a request (`routing` does), never waits for a disk in the
reactor's thread, and never uses the network.

- Decisions, without I/O: admission, frequency, segments, write_rate_limiter, circuit_breaker, purges,
  purge_log_recovery, bandwidth.
- Encoding of the files: file_format.
- File access, on worker threads: files, segment_files, purge_log, snapshots, volume.
- In the reactor's thread: store and its parts lookup, writing, purging, compaction, snapshotting and recovery, which
  share the state in tier; workers runs their file calls on threads.
- Operations of the command line on a store's directory: maintenance.
"""
