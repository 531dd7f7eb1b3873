"""Client of the platform's host list over HTTP."""

from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from carobwalk.http import HttpRequest, HttpResponse, HttpSender
from carobwalk.model import DECODE_ERRORS, Address
from carobwalk.store._host_list import Host, HostListError

DEFAULT_TIMEOUT_SECONDS = 5.0
HOSTS_PATH = '/v1/hosts'


class HttpHostList:
    """Reads the host list over HTTP, as a JSON array of ``Host``.

    Args:
        sender: Sends the requests.
        address: Address of the host list.
        timeout: Timeout of a request in seconds.
    """

    def __init__(
        self,
        sender: HttpSender,
        address: Address,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._sender = sender
        self._address = address
        self._timeout = timeout

    async def read(self) -> Result[tuple[Host, ...], HostListError]:
        """Return all hosts that are currently listed."""
        request = HttpRequest(method='GET', path=HOSTS_PATH)
        sent = await self._sender.send(self._address, request, self._timeout)
        if isinstance(sent, Err):
            return Err(HostListError(sent.err_value.detail))
        return _decode(sent.ok_value)


def _decode(
    response: HttpResponse,
) -> Result[tuple[Host, ...], HostListError]:
    if response.status != HTTPStatus.OK:
        return Err(HostListError(f'the host list answered {response.status}'))
    try:
        hosts = msgspec.json.decode(response.body, type=tuple[Host, ...])
    except DECODE_ERRORS as error:
        return Err(HostListError(f'reply that cannot be decoded: {error}'))
    return Ok(hosts)
