"""Entry point of the bundled program."""

from carobwalk.cli import main

main(prog_name='carobwalk')
