"""Randomized soak test of real gateway processes under injected faults."""
