"""Decisions on which targets may be used and who may give them orders."""
