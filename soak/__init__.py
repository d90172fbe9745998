"""A randomized soak test: real processes under injected faults, with their promises checked."""
