"""HTTP interface of the stand-in host list."""

from http import HTTPStatus
from types import MappingProxyType

import msgspec
from result import Err

from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.store import HOSTS_PATH, Host
from standins.memory_host_list import MemoryHostList

_JSON = MappingProxyType({'content-type': 'application/json'})


class HostListHandler:
    """Serves the requests of ``HttpHostList``, and control requests.

    ``PUT /_control/hosts`` takes one ``Host``; ``DELETE /_control/hosts/NAME``
    removes one, ``POST /_control/leaving/NAME`` marks one as leaving;
    ``PUT /_control/lag`` sets the lag in seconds.
    """

    def __init__(self, hosts: MemoryHostList) -> None:
        self._hosts = hosts

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a read or control request."""
        if request.path == HOSTS_PATH:
            return await self._read()
        name = request.path.rpartition('/')[-1]
        match (request.method, request.path.removesuffix(name)):
            case ('PUT', '/_control/') if name == 'hosts':
                self._hosts.put(msgspec.json.decode(request.body, type=Host))
            case ('PUT', '/_control/') if name == 'lag':
                self._hosts.lag = float(request.body)
            case ('DELETE', '/_control/hosts/'):
                self._hosts.remove(name)
            case ('POST', '/_control/leaving/'):
                self._hosts.mark_leaving(name)
            case _:
                return HttpResponse(HTTPStatus.NOT_FOUND)
        return HttpResponse(HTTPStatus.NO_CONTENT)

    async def _read(self) -> HttpResponse:
        listed = await self._hosts.read()
        if isinstance(listed, Err):
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)
        body = msgspec.json.encode(listed.ok_value)
        return HttpResponse(HTTPStatus.OK, _JSON, body)
