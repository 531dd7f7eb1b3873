"""Filling of the structs that several messages share."""

from typing import Any, Final

from carobwalk.model import Endpoint, Headers, Placement

ABSENT_NUMBER: Final = -1


def fill_headers(message: Any, headers: Headers) -> None:
    """Fill the list of header fields of a message."""
    fields = message.init('headers', len(headers))
    for index, (name, content) in enumerate(headers):
        header = fields[index]
        header.name = name
        header.content = content


def fill_placement(message: Any, placement: Placement) -> None:
    """Fill a ``Placement`` struct."""
    _fill_endpoint(message.init('server'), placement.server)
    _fill_endpoint(message.init('dispatcher'), placement.dispatcher)
    shard = placement.shard
    message.shard = ABSENT_NUMBER if shard is None else shard
    if placement.token is not None:
        message.epoch = placement.token.epoch
        message.sequence = placement.token.sequence


def _fill_endpoint(message: Any, endpoint: Endpoint) -> None:
    message.name = endpoint.name
    message.address.host = endpoint.address.host
    message.address.port = endpoint.address.port
    message.region = endpoint.region
    message.dataCentre = endpoint.data_centre
