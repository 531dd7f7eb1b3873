"""Client of the platform's key-value service over HTTP."""

from http import HTTPStatus
from typing import Any

import msgspec
from result import Err, Ok, Result

from carobwalk.http import ConnectFailed, HttpRequest, HttpResponse, HttpSender
from carobwalk.model import DECODE_ERRORS, Address
from carobwalk.store import wire
from carobwalk.store._store import (
    Conflict,
    LeaseId,
    LeaseLost,
    StoreFailure,
    Unanswered,
    Unavailable,
    Versioned,
)

DEFAULT_TIMEOUT_SECONDS = 5.0


class HttpStore:
    """Calls the key-value service over HTTP, without retries.

    Args:
        sender: Sends the requests.
        address: Address of the key-value service.
        timeout: Timeout of a request in seconds; for a watch, it is added to
            the timeout of the watch itself.
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

    async def read(
        self,
        name: str,
    ) -> Result[Versioned | None, StoreFailure]:
        """Return the record, or ``None`` if it does not exist."""
        return await self._call(wire.ReadRequest(name), Versioned | None)

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Return all records with the prefix, sorted by name."""
        return await self._call(
            wire.ReadPrefixRequest(prefix),
            tuple[Versioned, ...],
        )

    async def write(
        self,
        name: str,
        content: bytes,
        expected_revision: int,
        lease: LeaseId | None = None,
    ) -> Result[int, StoreFailure]:
        """Write a record if it has the expected revision."""
        return await self._call(
            wire.WriteRequest(name, content, expected_revision, lease),
            int,
        )

    async def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Delete a record if it has the expected revision."""
        return await self._call(
            wire.DeleteRequest(name, expected_revision),
            int,
        )

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease with a time to live of ``ttl`` seconds."""
        return await self._call(wire.OpenLeaseRequest(ttl), LeaseId)

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease for its full time to live."""
        return await self._call(wire.KeepAliveRequest(lease), None)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for changes of a prefix after the given revision."""
        return await self._call(
            wire.WatchRequest(prefix, after_revision, timeout),
            tuple[Versioned, ...],
            extra_timeout=timeout,
        )

    async def _call(
        self,
        message: wire.StoreRequest,
        reply_type: Any,
        extra_timeout: float = 0,
    ) -> Result[Any, StoreFailure]:
        request = HttpRequest(
            method='POST',
            path=message.PATH,
            headers={'content-type': 'application/json'},
            body=msgspec.json.encode(message),
        )
        sent = await self._sender.send(
            self._address,
            request,
            self._timeout + extra_timeout,
        )
        if isinstance(sent, Ok):
            return _decode(sent.ok_value, reply_type)
        failure = sent.err_value
        if isinstance(failure, ConnectFailed):
            return Err(Unavailable(failure.detail))
        return Err(Unanswered(failure.detail))


def _decode(
    response: HttpResponse,
    reply_type: Any,
) -> Result[Any, StoreFailure]:
    try:
        return _decode_status(response, reply_type)
    except DECODE_ERRORS as error:
        return Err(Unanswered(f'reply that cannot be decoded: {error}'))


def _decode_status(
    response: HttpResponse,
    reply_type: Any,
) -> Result[Any, StoreFailure]:
    match response.status:
        case HTTPStatus.OK:
            return Ok(msgspec.json.decode(response.body, type=reply_type))
        case HTTPStatus.CONFLICT:
            return Err(msgspec.json.decode(response.body, type=Conflict))
        case HTTPStatus.GONE:
            return Err(msgspec.json.decode(response.body, type=LeaseLost))
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return Err(Unavailable('the store answered 503'))
    return Err(Unanswered(f'the store answered {response.status}'))
