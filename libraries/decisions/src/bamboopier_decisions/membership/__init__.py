"""Decides which targets may be used and which processes may give them orders."""
