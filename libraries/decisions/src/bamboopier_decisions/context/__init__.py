"""Keys, placement and value of prompt blocks."""
