"""The entry process: callers' HTTP in, attempts at agents out."""
