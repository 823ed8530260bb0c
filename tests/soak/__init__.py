"""Randomized soak: real nodes, faults from outside, and the promises kept."""
