"""The event loop, timers, buffers and the log, below all else in `net`."""
