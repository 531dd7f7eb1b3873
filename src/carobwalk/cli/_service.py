"""The subcommands of ``service``."""

from typing import Any

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_options import client_options
from carobwalk.cli._admin_text import format_table
from carobwalk.cli._admin_write import (
    WriteOptions,
    send_write,
    write_options,
)
from carobwalk.cli._commands import register

_PATH = '/v1/services'
_HEADER = ('NAME', 'PROFILE', 'REVISION')


def _fetch_services(client: AdminClient) -> dict[str, Any]:
    return client.request(AdminCall(method='GET', path=_PATH))


def _service_row(service: dict[str, Any]) -> tuple[object, ...]:
    return (service['name'], service['profile'], service['revision'])


@register
@click.group('service')
def service_group() -> None:
    """Look at services and assign them to profiles."""


@service_group.command('list')
@client_options
def list_services(client: AdminClient) -> None:
    """List all services and their profiles."""
    answer = _fetch_services(client)
    rows = map(_service_row, answer['services'])
    client.echo(answer, *format_table([_HEADER, *rows]))


@service_group.command('show')
@click.argument('name')
@client_options
def show_service(client: AdminClient, name: str) -> None:
    """Show the service NAME."""
    call = AdminCall(method='GET', path=f'{_PATH}/{name}')
    answer = client.request(call)
    client.echo(answer, *format_table([_HEADER, _service_row(answer)]))


@service_group.command('assign')
@click.argument('name')
@click.argument('profile')
@write_options
@client_options
def assign_service(
    client: AdminClient,
    write: WriteOptions,
    name: str,
    profile: str,
) -> None:
    """Let the service NAME, known or new, run under PROFILE."""
    base = write.base_revision_or(_fetch_services(client)['revision'])
    call = write.build_call('PUT', f'{_PATH}/{name}', base, profile=profile)
    send_write(client, call)
