"""Messages between gateways and agents: committed gRPC code.

``make protocol`` regenerates the ``_pb2`` modules from ``agent.proto``.
"""
