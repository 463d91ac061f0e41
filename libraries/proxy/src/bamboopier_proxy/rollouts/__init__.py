"""Carries out the roll-outs that operators order."""
