"""Small stand-ins for the outside systems, for tests and the demo only.

Each keeps a log of what reached it, which is what checks look at. The shipped packages
never import this one.
"""
