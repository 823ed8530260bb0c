"""Relay of opaque HTTP requests from callers to endpoints."""
