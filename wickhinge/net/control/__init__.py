"""Router process: configuration, endpoint list, start, shutdown and the optional subsystems."""
