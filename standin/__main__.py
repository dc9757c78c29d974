"""python -m standin."""

from standin import program

program.main()
