"""Options for the address, the token and the output format."""

import functools
import re
from collections.abc import Callable
from typing import Any, Final

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminConnection
from carobwalk.cli._output import output_option
from carobwalk.model import Address

_ADDRESS: Final = re.compile(
    r'\[?(?P<host>[0-9a-fA-F.:]+?)\]?:(?P<port>[0-9]+)',
)


class _AddressType(click.ParamType[Address]):
    """Click parameter type of an IP address and a port."""

    name = 'host:port'

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Parse an address of the form HOST:PORT."""
        match = _ADDRESS.fullmatch(str(value))
        if match is None:
            self.fail(f'{value!r} is not HOST:PORT', param, ctx)
        return Address(match['host'], int(match['port']))


ADDRESS_TYPE: Final = _AddressType()
_ADDRESS_OPTION: Final = click.option(
    '--address',
    type=ADDRESS_TYPE,
    envvar='CAROBWALK_ADDRESS',
    required=True,
    help='Administration of any entry, as HOST:PORT.',
)
_TOKEN_OPTION: Final = click.option(
    '--token',
    envvar='CAROBWALK_TOKEN',
    required=True,
    help='Your token; better set in the environment.',
)


def client_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the connection options; the command gets a ``client``."""

    @functools.wraps(function)
    def wrapper(*args: Any, **options: Any) -> Any:
        connection = AdminConnection(
            options.pop('address'),
            options.pop('token'),
        )
        client = AdminClient(connection, options.pop('output'))
        return function(*args, client=client, **options)

    return _ADDRESS_OPTION(_TOKEN_OPTION(output_option(wrapper)))
