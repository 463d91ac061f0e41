"""The bamboopier command: thin over the libraries, one command a module."""
