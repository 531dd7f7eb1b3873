"""A router's access to the store: refusals, and addresses of its own links."""

import base64
import json
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final

import msgspec

from carobwalk.http import HttpRequest, HttpResponse
from standins.platform import KvHandler

_SERVER_PREFIX: Final = 'servers/'


class AddressBook:
    """Addresses at which each router reaches the backend servers."""

    def __init__(self) -> None:
        self._addresses_by_router: dict[str, dict[str, str]] = defaultdict(dict)

    def record(self, registered: str, router: str, address: str) -> None:
        """Record the address that stands for a registered one at a router."""
        self._addresses_by_router[router][registered] = address

    def of_router(self, router: str) -> Mapping[str, str]:
        """Return a router's addresses by the registered ones."""
        return self._addresses_by_router[router]


class StoreGate:
    """Handles the store calls of one router.

    ``refusal`` is the status with which all its calls are refused, if any.

    Args:
        handler: Handles the calls of all routers.
        addresses: Addresses of servers for this router by registered ones.
    """

    def __init__(
        self, handler: KvHandler, addresses: Mapping[str, str]
    ) -> None:
        self.refusal: HTTPStatus | None = None
        self._handler = handler
        self._addresses = addresses

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a call."""
        if self.refusal is not None:
            return HttpResponse(self.refusal)
        response = await self._handler(request)
        if request.query.get('prefix') != _SERVER_PREFIX or not response.body:
            return response
        body = json.loads(response.body)
        for row in body.get('items', body.get('events', ())):
            self._translate(row)
        return replace(response, body=msgspec.json.encode(body))

    def _translate(self, row: dict[str, Any]) -> None:
        """Replace the address in the row of a server."""
        if row.get('deleted'):
            return
        entry = json.loads(base64.b64decode(row['value']))
        address = entry['address']
        entry['address'] = self._addresses.get(address, address)
        row['value'] = base64.b64encode(json.dumps(entry).encode()).decode()
