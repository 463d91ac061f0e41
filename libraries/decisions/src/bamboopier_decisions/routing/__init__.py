"""Request routing: which target a gateway chooses, and when it retries."""
