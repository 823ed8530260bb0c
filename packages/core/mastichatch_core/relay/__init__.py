"""Rules by which a node relays requests to endpoints."""
