"""The commands ``quarantine``."""

import click

from carobwalk.cli._admin_answer import AdminSession
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_session import session_options
from carobwalk.cli._admin_text import table_lines
from carobwalk.cli._commands import register

_PATH = '/v1/quarantine'


@register
@click.group('quarantine')
def quarantine_group() -> None:
    """Look at requests that ended backend servers, and clear them."""


@quarantine_group.command('list')
@session_options
def list_quarantine(session: AdminSession) -> None:
    """List the requests that are in quarantine."""
    answer = session.fetch(AdminCall(method='GET', path=_PATH))
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
    session.echo(answer, *table_lines([header, *rows]))


@quarantine_group.command('clear')
@click.argument('identity')
@session_options
def clear_quarantine(session: AdminSession, identity: str) -> None:
    """Let the request IDENTITY through again, on every entry."""
    call = AdminCall(method='DELETE', path=f'{_PATH}/{identity}')
    answer = session.fetch(call)
    session.echo(answer, f'cleared {identity}')
