"""Runs many routers that share nothing in one process.

Messages are passed to the instance of the router that they name. The reply to a batch is merged from the actions of the
instances that run at its end.
"""

from __future__ import annotations

from typing import Any, BinaryIO

from wickhinge import fields as checks
from wickhinge.fields import MalformedError
from wickhinge.wirehost import codec
from wickhinge.wirehost.hosted_router import MESSAGE_HANDLERS, HostedRouter
from wickhinge.wirehost.outbox import ActionOrder, Outbox


class RouterHost:
    """All routers of the process.

    Attributes:
        instances: The running instance of each router, by the router's number on the wire.
    """

    def __init__(self) -> None:
        self.instances: dict[int, HostedRouter] = {}
        self._order = ActionOrder()
        # Errors of refused starts, and of messages to routers that have no instance, by the router's number.
        self._errors: dict[int, Outbox] = {}
        self._routers_in_batch: set[int] = set()

    def handle_message(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Handle one message of a batch. A message that is refused is answered with its error.

        Raises:
            MalformedError: The message names no router, so that no answer can name one.
        """
        number = checks.integer(name, fields, "router")
        self._routers_in_batch.add(number)
        if name == "Kill":
            self._end(number)
            return
        instance = self.instances.get(number) if name != "PowerOn" else None
        try:
            if name == "PowerOn":
                self._start(number, fields, now)
            elif name not in MESSAGE_HANDLERS:
                raise MalformedError(f"{name}: unknown message")
            elif instance is None:
                raise MalformedError(f"{name}: field router names no running instance")
            else:
                MESSAGE_HANDLERS[name](instance, name, fields, now)
        except MalformedError as error:
            outbox = instance.outbox if instance else self._errors.setdefault(number, Outbox(self._order))
            outbox.append(codec.encode("Broken", {"router": number, "line": str(error)}))

    def _end(self, number: int) -> None:
        """Drop a router's instance and the errors of its refused starts, with all that is not sent yet."""
        self.instances.pop(number, None)
        self._errors.pop(number, None)

    def _start(self, number: int, fields: dict[str, Any], now: float) -> None:
        """Put a new instance in the place of a router's earlier one, which a refused start leaves as it is."""
        instance = HostedRouter(number, Outbox(self._order))
        instance.handle_power_on("PowerOn", fields, now)
        self.instances[number] = instance

    def take_reply(self) -> bytes:
        """Return the encoded actions of the reply to the batch, and begin the next batch.

        Only instances that the batch has messages for can have requested actions.
        """
        outboxes = list(self._errors.values())
        for number in self._routers_in_batch:
            if number in self.instances:
                outboxes.append(self.instances[number].outbox)
        self._errors.clear()
        self._routers_in_batch.clear()
        return self._order.merge(outboxes)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches until the end of the input, and write the actions of each batch as its reply.

    Raises:
        MalformedError: A line is not a message, comes before any batch, or names no router.
    """
    router_host, now = RouterHost(), None
    for line in source:
        if not line.strip():
            continue
        name, fields = codec.decode(line)
        if name == "Batch":
            now = checks.seconds(name, fields, "timeMs")
        elif name == "Go":
            sink.write(router_host.take_reply() + b'{"Finished":{}}\n')
            sink.flush()
        elif now is None:
            raise MalformedError(f"{name}: comes before any Batch")
        else:
            router_host.handle_message(name, fields, now)
