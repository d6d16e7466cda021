"""Ask a router for one part of an object: python example/ask.py TARIFF OBJECT PART [ADDRESS]"""

from __future__ import annotations

import os
import socket
import sys

from wickhinge.net.downstream import msgpack


def main() -> None:
    tariff, key, part, *rest = sys.argv[1:]
    host, _, port = (rest[0] if rest else "127.0.0.1:10080").rpartition(":")
    fields = {"rid": os.urandom(8).hex(), "budget": "3000", "obj": key, "block": part, "family": "1"}
    with socket.create_connection((host, int(port)), timeout=5) as line:
        line.sendall(msgpack.pack([0, 1, tariff, [fields, b""]]))
        stream, answers = msgpack.MessageDecoder(300_000), []
        while not answers:
            data = line.recv(65536)
            if not data:
                raise SystemExit("the router closed the connection")
            answers = stream.feed(data)
    _, _, error, result = answers[0]
    print("refused or failed:" if error else "honoured:", error or f"{len(result[0])} bytes, {result[1]}")


if __name__ == "__main__":
    main()
