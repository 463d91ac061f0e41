"""Decisions on moving a service to another software version of its targets."""
