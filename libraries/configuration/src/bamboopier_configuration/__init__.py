"""Checked settings of a process and the configuration that operators publish."""
