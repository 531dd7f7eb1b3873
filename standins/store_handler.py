"""HTTP interface of the stand-in key-value service."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
import trio
from result import Err, Result

from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.store import (
    Conflict,
    LeaseLost,
    StoreFailure,
    Unavailable,
    wire,
)
from standins.memory_store import MemoryStore, MemoryStoreClient, StoreFaults

# A lost reply is sent later than the timeout of any client.
LOST_REPLY_DELAY_SECONDS = 60

_JSON = MappingProxyType({'content-type': 'application/json'})


@dataclass(frozen=True, slots=True)
class _Route:
    """Decodes a message and calls a method with its fields."""

    message_type: type
    method: Callable[..., Awaitable[Result[Any, StoreFailure]]]

    async def __call__(self, body: bytes) -> Result[Any, StoreFailure]:
        message: object = msgspec.json.decode(body, type=self.message_type)
        fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        return await self.method(**fields)


class StoreHandler:
    """Serves the calls of ``HttpStore`` from memory.

    ``PUT /_control/faults`` takes ``StoreFaults``, ``GET /_control/counts``
    returns ``CallCounts``, ``POST /_control/release`` applies held writes.
    """

    def __init__(self) -> None:
        self._client = MemoryStore().client()
        self._routes_by_path = _routes(self._client)

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a call or control request."""
        if request.path.startswith('/_control/'):
            return self._control(request)
        route = self._routes_by_path.get(request.path)
        if route is None:
            return HttpResponse(HTTPStatus.NOT_FOUND)
        try:
            answer = await route(request.body)
        except msgspec.MsgspecError as error:
            return HttpResponse(
                HTTPStatus.BAD_REQUEST, body=str(error).encode()
            )
        if isinstance(answer, Err):
            return await _respond_to_failure(answer.err_value)
        return _respond(HTTPStatus.OK, answer.ok_value)

    def _control(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path):
            case ('PUT', '/_control/faults'):
                self._client.inject(
                    msgspec.json.decode(request.body, type=StoreFaults),
                )
            case ('POST', '/_control/release'):
                self._client.release_held()
            case ('GET', '/_control/counts'):
                return _respond(HTTPStatus.OK, self._client.counts)
            case _:
                return HttpResponse(HTTPStatus.NOT_FOUND)
        return HttpResponse(HTTPStatus.NO_CONTENT)


def _routes(client: MemoryStoreClient) -> dict[str, _Route]:
    return {
        wire.ReadRequest.PATH: _Route(wire.ReadRequest, client.read),
        wire.ReadPrefixRequest.PATH: _Route(
            wire.ReadPrefixRequest,
            client.read_prefix,
        ),
        wire.WriteRequest.PATH: _Route(wire.WriteRequest, client.write),
        wire.DeleteRequest.PATH: _Route(wire.DeleteRequest, client.delete),
        wire.OpenLeaseRequest.PATH: _Route(
            wire.OpenLeaseRequest,
            client.open_lease,
        ),
        wire.KeepAliveRequest.PATH: _Route(
            wire.KeepAliveRequest,
            client.keep_alive,
        ),
        wire.WatchRequest.PATH: _Route(wire.WatchRequest, client.watch),
    }


async def _respond_to_failure(failure: StoreFailure) -> HttpResponse:
    if isinstance(failure, Conflict):
        return _respond(HTTPStatus.CONFLICT, failure)
    if isinstance(failure, LeaseLost):
        return _respond(HTTPStatus.GONE, failure)
    if isinstance(failure, Unavailable):
        return _respond(HTTPStatus.SERVICE_UNAVAILABLE, failure)
    await trio.sleep(LOST_REPLY_DELAY_SECONDS)
    return _respond(HTTPStatus.GATEWAY_TIMEOUT, failure)


def _respond(status: HTTPStatus, content: object) -> HttpResponse:
    return HttpResponse(status, _JSON, msgspec.json.encode(content))
