"""Run the command as ``python -m bamboopier_cli``."""

from .application import main

main()
