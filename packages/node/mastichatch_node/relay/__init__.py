"""Relays opaque HTTP requests from callers to endpoints."""
