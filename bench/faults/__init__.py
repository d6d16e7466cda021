"""Real router processes on few cores, with faults put between them and everything they talk to, judged from outside."""
