"""Small stand-ins for the external systems, for tests and the demo only.

Each logs the requests that reach it, which tests check. The shipped packages never
import this one.
"""
