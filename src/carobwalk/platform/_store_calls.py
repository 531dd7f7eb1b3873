"""Single calls to the platform's metadata store."""

from http import HTTPStatus
from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from carobwalk.http import ConnectFailed, HttpRequest, HttpResponse, HttpSender
from carobwalk.model import Address
from carobwalk.store import StoreFailure, Unanswered, Unavailable

_NOT_DONE: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)

_ReplyT = TypeVar('_ReplyT')


class StoreCalls:
    """Sends calls and decodes their answers.

    Args:
        sender: Sends the calls.
        address: Where the store listens.
        timeout: Longest wait for an answer in seconds.
    """

    def __init__(
        self,
        sender: HttpSender,
        address: Address,
        timeout: float,
    ) -> None:
        self._sender = sender
        self._address = address
        self._timeout = timeout

    async def get(
        self,
        path: str,
        query: dict[str, str],
        reply_type: type[_ReplyT],
    ) -> Result[_ReplyT, StoreFailure]:
        """Return the decoded answer of a reading call."""
        request = HttpRequest(method='GET', path=path, query=query)
        answered = await self.send(request)
        return answered.and_then(
            lambda response: decode(response, reply_type),
        )

    async def post(
        self,
        path: str,
        message: msgspec.Struct,
        reply_type: type[_ReplyT],
    ) -> Result[_ReplyT, StoreFailure]:
        """Return the decoded answer of a call with a body."""
        request = json_request(path, message)
        answered = await self.send(request)
        return answered.and_then(
            lambda response: decode(response, reply_type),
        )

    async def send(
        self,
        request: HttpRequest,
        timeout: float | None = None,
    ) -> Result[HttpResponse, StoreFailure]:
        """Send a call once.

        Args:
            request: The call.
            timeout: Longest wait in seconds, if it is not the usual one.
        """
        sent = await self._sender.send(
            self._address,
            request,
            self._timeout if timeout is None else timeout,
        )
        if isinstance(sent, Ok):
            return sent
        failure = sent.err_value
        if isinstance(failure, ConnectFailed):
            return Err(Unavailable(failure.detail))
        return Err(Unanswered(failure.detail))


def json_request(path: str, message: msgspec.Struct) -> HttpRequest:
    """Return a call with a body."""
    return HttpRequest(
        method='POST',
        path=path,
        headers={'content-type': 'application/json'},
        body=msgspec.json.encode(message),
    )


def decode(
    response: HttpResponse,
    reply_type: type[_ReplyT],
) -> Result[_ReplyT, Any]:
    """Return the decoded body of an answer."""
    if response.status != HTTPStatus.OK:
        return Err(unexpected(response))
    try:
        return Ok(msgspec.json.decode(response.body, type=reply_type))
    except msgspec.MsgspecError as error:
        return Err(Unanswered(f'reply that cannot be decoded: {error}'))


def unexpected(response: HttpResponse) -> StoreFailure:
    """Return the failure that an unexpected status means."""
    detail = f'the store answered {response.status}'
    if response.status in _NOT_DONE:
        return Unavailable(detail)
    return Unanswered(detail)
