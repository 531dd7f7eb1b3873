"""The subcommands of ``quarantine``."""

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_options import client_options
from carobwalk.cli._admin_text import format_table
from carobwalk.cli._commands import register

_PATH = '/v1/quarantine'


@register
@click.group('quarantine')
def quarantine_group() -> None:
    """Look at requests that ended backend servers, and clear them."""


@quarantine_group.command('list')
@client_options
def list_quarantine(client: AdminClient) -> None:
    """List the requests that are in quarantine."""
    answer = client.request(AdminCall(method='GET', path=_PATH))
    rows = [
        (
            request['identity'],
            request['service'],
            ', '.join(request['servers']),
            request['expires_in'],
        )
        for request in answer['requests']
    ]
    header = ('REQUEST', 'SERVICE', 'SERVERS', 'EXPIRES IN')
    client.echo(answer, *format_table([header, *rows]))


@quarantine_group.command('clear')
@click.argument('identity')
@client_options
def clear_quarantine(client: AdminClient, identity: str) -> None:
    """Let the request IDENTITY through again, on every entry."""
    call = AdminCall(method='DELETE', path=f'{_PATH}/{identity}')
    answer = client.request(call)
    client.echo(answer, f'cleared {identity}')
