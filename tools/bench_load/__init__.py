"""Runs the production routing and admission decisions in simulated time."""
