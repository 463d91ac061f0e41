"""Stand-ins of the second review: a small deployment with the project's programs."""
