"""Messages between gateways and agents, as generated gRPC code.

``make protocol`` regenerates the ``_pb2`` modules from ``agent.proto``; they are
committed.
"""
