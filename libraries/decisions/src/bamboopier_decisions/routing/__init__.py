"""Where a gateway sends a request, and what it does when an attempt ends."""
