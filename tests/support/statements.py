"""Statements about endpoints, with default values for the fields that most tests do not use."""

from wickhinge.membership.statement_table import EndpointState, ListSource, Statement


def make_statement(
    endpoint_id, state="ready", stated_at=100.0, source=ListSource.REMEMBERED, kind="box", port=None, zone="here"
):
    """Return a statement about an endpoint whose port is its id unless `port` is given."""
    address = ("127.0.0.1", port or endpoint_id)
    return Statement(endpoint_id, address, EndpointState(state), zone, kind, 0, 4.0, None, stated_at, source)
