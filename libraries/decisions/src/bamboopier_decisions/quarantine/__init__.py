"""Refusal of requests that crash the targets that run them."""
