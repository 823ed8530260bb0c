"""Tests and stand-ins."""
