"""Measurements of the policy and of the capacity."""
