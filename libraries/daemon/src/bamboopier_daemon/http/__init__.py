"""An HTTP server whose clients are bounded in memory, places and work."""
