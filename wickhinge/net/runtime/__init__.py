"""The event loop, timers, buffers and the log, on which all other packages of `wickhinge.net` are built."""
