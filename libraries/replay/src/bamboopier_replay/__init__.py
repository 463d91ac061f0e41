"""Replays traces of requests against gateways and checks expectations."""
