"""A randomized run of real processes under faults from outside."""
