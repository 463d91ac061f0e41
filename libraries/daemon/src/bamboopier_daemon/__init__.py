"""What every daemon does the same way: start, administration port, stopping."""
