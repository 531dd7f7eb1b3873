"""Root of the command line."""

import click

from carobwalk._version import VERSION


@click.group(name='carobwalk')
def main() -> None:
    """Route requests to servers that own their keys."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(VERSION)
