"""Developers' tools."""
