"""Bad clients that ask for hundreds of parts at once, take all of it back, and do the same again at full speed.

python bad_clients.py PORT CLIENTS SECONDS
"""

import os
import socket
import sys
import threading
import time

from review.stand_ins import HOST, ITEMS
from wickhinge.net.downstream import msgpack

REQUESTS_AT_ONCE = 300


def requests_taken_back() -> bytes:
    """Return hundreds of requests, each with its abort behind it, so that no more than one is open at a time."""
    messages = []
    for call in range(1, REQUESTS_AT_ONCE + 1):
        fields = {"rid": os.urandom(8).hex(), "budget": "3000", "obj": f"{call:016x}", "block": "0", "family": "1"}
        messages += [[0, call, ITEMS, [fields, b""]], [2, "abort", [call]]]
    return b"".join(msgpack.pack(message) for message in messages)


def read_all(client: socket.socket) -> None:
    """Read whatever the router sends."""
    try:
        while client.recv(1 << 16):
            pass
    except OSError:
        return


def send(port: int, until: float, sent: list[int]) -> None:
    """Be one bad client, which connects again as soon as it is turned away."""
    data = requests_taken_back()
    while time.monotonic() < until:
        try:
            with socket.create_connection((HOST, port), 2) as client:
                threading.Thread(target=read_all, args=(client,), daemon=True).start()
                client.settimeout(1)
                while time.monotonic() < until:
                    try:
                        client.sendall(data)
                    except TimeoutError:  # The router does not read; half a batch was sent.
                        break
                    sent.append(len(data))
        except OSError:
            time.sleep(0.01)


def main() -> None:
    """Run until the time is over, and print what was sent."""
    port, clients, until = int(sys.argv[1]), int(sys.argv[2]), time.monotonic() + float(sys.argv[3])
    sent: list[int] = []
    threads = [threading.Thread(target=send, args=(port, until, sent)) for _ in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"batches={len(sent)} requests_taken_back={len(sent) * REQUESTS_AT_ONCE} bytes={sum(sent)}", flush=True)


if __name__ == "__main__":
    main()
