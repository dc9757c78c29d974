"""Entry point of python -m standin."""

from standin import program

program.main()
