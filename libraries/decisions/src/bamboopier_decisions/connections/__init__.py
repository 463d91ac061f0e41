"""Decides which clients' connections give way when a process is full."""
