"""Bad clients that take back hundreds of requests at once keep the router busy, and usual clients get no answer."""

import sys
import time
from pathlib import Path

from review import stand_ins
from review.stand_ins import Case, Events, Journal, Origin, Server

FOLDER = Path(__file__).resolve().parent
BAD_CLIENTS = 8  # Of 85: a third of the descriptor limit of 256.
WARM_UP_S = 1.0


def play(case: Case) -> int:
    """Return whether requests of the usual clients got no answer until half a second after their time."""
    origin, events = Origin(), Events()
    kinds = ("box", "box", "box", "parent", "origin")
    servers = [Server(place, kind, origin, case.record) for place, kind in enumerate(kinds)]
    journal = Journal("journal", events, case.record)
    events.publish(1, b"".join(server.list_record(stand_ins.READY) for server in servers))
    address = (stand_ins.HOST, stand_ins.free_port())
    config = stand_ins.router_config(address[1], journal, servers)
    config["limits"] = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    case.start_router("n1", config)
    for number in range(20):
        stand_ins.ask(address, stand_ins.ITEMS, f"{number + 1:016x}", case.record)
    bad_clients = None
    if case.has_trouble:
        arguments = [str(address[1]), str(BAD_CLIENTS), str(WARM_UP_S + stand_ins.ASK_FOR_S)]
        bad_clients = case.start("bad_clients", [sys.executable, str(FOLDER / "bad_clients.py"), *arguments])
    time.sleep(WARM_UP_S)
    code = stand_ins.judge_usual_clients(case, address)
    if bad_clients is not None:
        bad_clients.child.wait(10)
        case.record.write("bad_clients", at_once=BAD_CLIENTS, sent=bad_clients.log_text().strip())
    return code


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(FOLDER, play))
