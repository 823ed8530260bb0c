"""Shared core of mastichatch: types, errors and pure decisions."""
