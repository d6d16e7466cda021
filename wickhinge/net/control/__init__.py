"""The router process: configuration, endpoint list, start, and the optional subsystems."""
