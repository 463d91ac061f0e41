"""The agent: a process on each target's VM through which all requests to it pass."""
