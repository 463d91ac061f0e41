"""Decisions of gateway and agent, as plain functions of the events passed to them.

Nothing here opens a socket, runs an event loop, reads a clock or draws from a global
random generator: ``now`` (seconds, any fixed origin) is passed with every event and a
seeded generator to the constructor. Any driver, live or simulated, can run it.
"""
