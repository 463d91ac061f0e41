"""Admission control: which requests a target starts, queues and rejects."""
