"""The gateway process: accepts callers' HTTP and forwards it to agents."""
