"""The command ``explain-route``."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import click
import msgspec
import trio
from result import Err

from carobwalk.cli._admin_options import ADDRESS_TYPE
from carobwalk.cli._commands import register
from carobwalk.cli._exit_codes import ExitCode
from carobwalk.cli._explained_text import explained_lines
from carobwalk.cli._output import OutputFormat, echo_json
from carobwalk.http import HttpClient, HttpRequest, HttpResponse
from carobwalk.model import Address

_PATH: Final = '/explain'
_TIMEOUT_SECONDS: Final = 10


_QUERY_OPTIONS: Final = (
    click.option('--host', required=True, help='Host of the request.'),
    click.option('--path', required=True, help='Path of the request.'),
    click.option('--method', default='GET', help='Its method.'),
    click.option('--key', type=click.IntRange(0), help='Number of its key.'),
    click.option(
        '--body-bytes', type=click.IntRange(0), help='Size of its body.'
    ),
    click.option('--caller', help='IP address of its caller.'),
    click.option(
        '--format',
        'output',
        type=click.Choice([str(member) for member in OutputFormat]),
        default=str(OutputFormat.TEXT),
        show_default=True,
        help='Format of the answer.',
    ),
)


def _query_options(function: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(_QUERY_OPTIONS):
        function = option(function)
    return function


@register
@click.command('explain-route')
@click.argument('address', type=ADDRESS_TYPE)
@_query_options
def explain_route_command(address: Address, output: str, **query: Any) -> None:
    """Explain where a process would send a request now, and why.

    ADDRESS is the metrics listener of a process of the users' platform. The
    request isn't sent or counted.
    """
    response = _ask(
        address,
        {
            name: str(answer)
            for name, answer in query.items()
            if answer is not None
        },
    )
    explained = _decode(response)
    if output == OutputFormat.JSON:
        echo_json(explained)
    else:
        click.echo('\n'.join(explained_lines(explained)))
    if explained['route'] is None:
        raise click.exceptions.Exit(ExitCode.NOT_FOUND)


def _ask(address: Address, query: dict[str, str]) -> HttpResponse:
    request = HttpRequest('GET', _PATH, query)
    sent = trio.run(HttpClient().send, address, request, _TIMEOUT_SECONDS)
    if isinstance(sent, Err):
        click.echo(f'{address}: {sent.err_value.detail}', err=True)
        raise click.exceptions.Exit(ExitCode.UNREACHABLE)
    return sent.ok_value


def _decode(response: HttpResponse) -> dict[str, Any]:
    """Return the explanation, or exit if the answer has none."""
    try:
        explained = msgspec.json.decode(response.body, type=dict[str, Any])
    except msgspec.DecodeError:
        explained = {}
    if response.status == HTTPStatus.OK and 'route' in explained:
        return explained
    detail = explained.get('detail', 'not a process of the platform')
    click.echo(f'status {response.status}: {detail}', err=True)
    is_input = response.status == HTTPStatus.BAD_REQUEST
    raise click.exceptions.Exit(
        ExitCode.INPUT if is_input else ExitCode.REFUSED
    )
