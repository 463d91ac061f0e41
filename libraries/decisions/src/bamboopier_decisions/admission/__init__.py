"""Which request a target runs next, which wait and which are turned away."""
