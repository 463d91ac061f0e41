"""Forwards callers' requests directly to targets; agents request weight updates."""
