"""Functions shared by all daemons: start, administration port, logs, shutdown."""
