"""Forwards callers' requests straight to targets; the agent orders weight versions."""
