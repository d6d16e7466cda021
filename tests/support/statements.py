"""A statement about an endpoint, with what most tests do not care about filled in."""

from wickhinge.membership.statement_table import EndpointState, ListSource, Statement


def statement(mark, state="ready", when=100.0, source=ListSource.REMEMBERED, kind="box", port=None, zone="here"):
    address = ("127.0.0.1", port or mark)
    return Statement(mark, address, EndpointState(state), zone, kind, 0, 4.0, None, when, source)
