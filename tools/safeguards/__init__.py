"""Safeguards by subject, for ``make mutations``."""
