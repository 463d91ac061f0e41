"""Decisions of a gateway that sends requests to targets itself."""
