"""How each mechanism's cost grows with the fleet, and the fleet itself on one machine's sockets."""
