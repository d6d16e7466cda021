"""Bad clients whose message never ends keep the router busy, and usual clients get no answer in time."""

import os
import socket
import sys
import time
from pathlib import Path

from review import stand_ins
from review.stand_ins import Case, Events, Journal, Origin, Server
from wickhinge.net.downstream import msgpack

BAD_CLIENTS = 40  # Of 85: a third of the descriptor limit of 256.
PIECE_INTERVAL_S = 0.02
WARM_UP_S = 1.0


def endless_message() -> bytes:
    """Return the start of a request whose body is arrays in arrays, in place of bytes; its end never comes."""
    fields = {"rid": os.urandom(8).hex(), "budget": "3000", "obj": "00000000000000aa", "block": "0", "family": "1"}
    array_of_64 = b"\xdc\x00\x40"
    inner = array_of_64 + b"\x90" * 64  # 64 empty arrays.
    body = array_of_64 + (array_of_64 + inner * 64) * 15  # Claims 64 arrays and brings 15.
    return b"\x94\x00\x01" + msgpack.pack(stand_ins.ITEMS) + b"\x92" + msgpack.pack(fields) + body


def send_without_end(case: Case, address: tuple[str, int], until: float) -> None:
    """Be 40 bad clients: send the message, then a byte at a time; connect again as soon as turned away."""
    clients: list[socket.socket] = []
    message, connected = endless_message(), 0
    while time.monotonic() < until:
        while len(clients) < BAD_CLIENTS:
            try:
                client = socket.create_connection(address, 2)
                client.sendall(message)
            except OSError:
                break
            client.setblocking(False)
            clients.append(client)
            connected += 1
        clients = [client for client in clients if is_taken(client)]
        time.sleep(PIECE_INTERVAL_S)
    case.record.write("bad_clients", at_once=BAD_CLIENTS, connections=connected, message_bytes=len(message))
    for client in clients:
        client.close()


def is_taken(client: socket.socket) -> bool:
    """Send one more byte and read what came; return False where the router has ended the connection."""
    try:
        client.send(b"\x90")
    except BlockingIOError:
        return True
    except OSError:
        client.close()
        return False
    try:
        if client.recv(4096):
            return True
    except BlockingIOError:
        return True
    except OSError:
        pass
    client.close()
    return False


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
    if case.has_trouble:
        until = time.monotonic() + WARM_UP_S + stand_ins.ASK_FOR_S
        stand_ins.in_thread(send_without_end, case, address, until)
    time.sleep(WARM_UP_S)
    return stand_ins.judge_usual_clients(case, address)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(Path(__file__).resolve().parent, play))
