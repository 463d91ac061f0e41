"""Runs the unchanged routing and admission decisions under simulated time."""
