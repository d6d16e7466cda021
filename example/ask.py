"""Ask a router for one part of an object: python example/ask.py TARIFF OBJECT PART [ADDRESS]"""

from __future__ import annotations

import os
import socket
import sys

from wickhinge.net import msgpack


def main() -> None:
    tariff, key, part, *rest = sys.argv[1:]
    host, _, port = (rest[0] if rest else "127.0.0.1:10080").rpartition(":")
    fields = {"rid": os.urandom(8).hex(), "budget": "3000", "obj": key, "block": part, "family": "1"}
    with socket.create_connection((host, int(port)), timeout=5) as line:
        line.sendall(msgpack.pack([0, 1, tariff, [fields, b""]]))
        value, data = None, b""
        while value is None:
            more = line.recv(65536)
            if not more:
                raise SystemExit("the router closed the connection")
            data += more
            try:
                value = msgpack.Reader(data, 300_000).value()
            except msgpack.Short:
                continue
    _, _, error, result = value
    print("refused or failed:" if error else "honoured:", error or f"{len(result[0])} bytes, {result[1]}")


if __name__ == "__main__":
    main()
