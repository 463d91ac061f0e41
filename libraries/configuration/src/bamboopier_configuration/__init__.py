"""Settings of a process and the configuration that operators publish, validated."""
