"""Decisions on opaque requests that a node relays to an endpoint."""
