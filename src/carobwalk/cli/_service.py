"""The commands ``service``."""

from typing import Any

import click

from carobwalk.cli._admin_answer import AdminSession
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_session import session_options
from carobwalk.cli._admin_text import table_lines
from carobwalk.cli._admin_write import (
    WriteOptions,
    send_write,
    write_options,
)
from carobwalk.cli._commands import register

_PATH = '/v1/services'
_HEADER = ('NAME', 'PROFILE', 'REVISION')


def _fetch_all(session: AdminSession) -> dict[str, Any]:
    return session.fetch(AdminCall(method='GET', path=_PATH))


def _row(service: dict[str, Any]) -> tuple[object, ...]:
    return (service['name'], service['profile'], service['revision'])


@register
@click.group('service')
def service_group() -> None:
    """Look at services and assign them to profiles."""


@service_group.command('list')
@session_options
def list_services(session: AdminSession) -> None:
    """List all services and their profiles."""
    answer = _fetch_all(session)
    rows = map(_row, answer['services'])
    session.echo(answer, *table_lines([_HEADER, *rows]))


@service_group.command('show')
@click.argument('name')
@session_options
def show_service(session: AdminSession, name: str) -> None:
    """Show the service NAME."""
    call = AdminCall(method='GET', path=f'{_PATH}/{name}')
    answer = session.fetch(call)
    session.echo(answer, *table_lines([_HEADER, _row(answer)]))


@service_group.command('assign')
@click.argument('name')
@click.argument('profile')
@write_options
@session_options
def assign_service(
    session: AdminSession,
    write: WriteOptions,
    name: str,
    profile: str,
) -> None:
    """Let the service NAME, known or new, run under PROFILE."""
    base = write.base_or(_fetch_all(session)['revision'])
    call = write.call('PUT', f'{_PATH}/{name}', base, profile=profile)
    send_write(session, call)
