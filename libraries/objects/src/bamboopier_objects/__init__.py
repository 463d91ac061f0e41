"""Clients of the platform: versioned objects, the VM list, published configuration."""
