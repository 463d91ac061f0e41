"""Lists of safeguards by subject, for ``make mutations``."""
