"""Measures what each role costs per unit, and works out the design size from it."""
