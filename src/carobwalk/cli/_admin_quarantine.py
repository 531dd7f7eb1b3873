"""The commands ``quarantine``."""

import click

from carobwalk.cli._admin_answer import AdminClient
from carobwalk.cli._admin_client import client_options
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_text import table_lines
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
    answer = client.fetch(AdminCall(method='GET', path=_PATH))
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
    client.echo(answer, *table_lines([header, *rows]))


@quarantine_group.command('clear')
@click.argument('identity')
@client_options
def clear_quarantine(client: AdminClient, identity: str) -> None:
    """Let the request IDENTITY through again, on every entry."""
    call = AdminCall(method='DELETE', path=f'{_PATH}/{identity}')
    answer = client.fetch(call)
    client.echo(answer, f'cleared {identity}')
