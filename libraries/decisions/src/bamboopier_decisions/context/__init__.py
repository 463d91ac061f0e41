"""Keys, placement, transfer and eviction of prompt blocks."""
