"""Replays a recorded trace against a gateway and checks stated outcomes."""
