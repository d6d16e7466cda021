"""What the router on sockets and the optional subsystems share."""
