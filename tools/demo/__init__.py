"""The demonstration: a small fleet on loopback, and what happens to it."""
