"""Adapter to the platform's key-value service over HTTP."""

from http import HTTPStatus
from typing import Any

import msgspec
from result import Err, Ok, Result

from carobwalk.http import ConnectFailed, HttpRequest, HttpResponse, HttpSender
from carobwalk.model import Address
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
    """Store that is reached over HTTP; a call is sent once.

    Args:
        sender: Sends the requests.
        address: Where the key-value service listens.
        timeout: Longest wait for a reply in seconds; a watch waits that much
            longer than its own timeout.
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
        """Return the record, ``None`` where there is none."""
        return await self._call(wire.ReadRequest(name), Versioned | None)

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Return all records whose names start with the prefix, by name."""
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
        """Write a record if its revision is the expected one."""
        return await self._call(
            wire.WriteRequest(name, content, expected_revision, lease),
            int,
        )

    async def delete(
        self,
        name: str,
        expected_revision: int,
    ) -> Result[int, StoreFailure]:
        """Delete a record if its revision is the expected one."""
        return await self._call(
            wire.DeleteRequest(name, expected_revision),
            int,
        )

    async def open_lease(self, ttl: float) -> Result[LeaseId, StoreFailure]:
        """Open a lease of ``ttl`` seconds."""
        return await self._call(wire.OpenLeaseRequest(ttl), LeaseId)

    async def keep_alive(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease for its whole time to live."""
        return await self._call(wire.KeepAliveRequest(lease), None)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        timeout: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        """Wait for records of a prefix that are newer than a revision."""
        return await self._call(
            wire.WatchRequest(prefix, after_revision, timeout),
            tuple[Versioned, ...],
            wait=timeout,
        )

    async def _call(
        self,
        message: wire.StoreRequest,
        reply_type: Any,
        wait: float = 0,
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
            self._timeout + wait,
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
    except msgspec.MsgspecError as error:
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
