"""Entry point of python -m loadtool."""

from loadtool import program

program.main()
