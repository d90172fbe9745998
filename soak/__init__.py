"""A randomized soak: real programs, faults from outside, and the promises checked meanwhile."""
