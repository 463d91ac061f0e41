"""The bamboopier command line: a thin layer over the libraries."""
