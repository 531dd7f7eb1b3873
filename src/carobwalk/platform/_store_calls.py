"""HTTP calls to the platform's metadata store, without retries."""

from http import HTTPStatus
from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from carobwalk.http import ConnectFailed, HttpRequest, HttpResponse, HttpSender
from carobwalk.model import DECODE_ERRORS, Address
from carobwalk.platform._store_era import StoreEra
from carobwalk.store import StoreFailure, Unanswered, Unavailable

_NOT_EXECUTED_STATUSES: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)

# Longest pause in an answer that arrives over a thin link.
STALL_SECONDS: Final = 1.0

_ReplyT = TypeVar('_ReplyT')


class StoreCalls:
    """Sends calls and decodes their answers.

    Args:
        sender: HTTP client.
        address: Address of the store.
        timeout: Default timeout of a call in seconds.
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
        self.era = StoreEra()

    async def get(
        self,
        path: str,
        query: dict[str, str],
        reply_type: type[_ReplyT],
    ) -> Result[_ReplyT, StoreFailure]:
        """Send a GET call and decode the answer.

        Args:
            path: Path of the call.
            query: Query parameters.
            reply_type: Type to decode the body of the answer to.
        """
        request = HttpRequest(
            method='GET', path=path, query=query, stall_seconds=STALL_SECONDS
        )
        answered = await self.send(request)
        return answered.and_then(
            lambda response: decode_response(response, reply_type),
        )

    async def post(
        self,
        path: str,
        message: msgspec.Struct,
        reply_type: type[_ReplyT],
    ) -> Result[_ReplyT, StoreFailure]:
        """Send a POST call with a JSON body and decode the answer.

        Args:
            path: Path of the call.
            message: Body, encoded as JSON.
            reply_type: Type to decode the body of the answer to.
        """
        request = json_request(path, message)
        answered = await self.send(request)
        return answered.and_then(
            lambda response: decode_response(response, reply_type),
        )

    async def send(
        self,
        request: HttpRequest,
        timeout: float | None = None,
    ) -> Result[HttpResponse, StoreFailure]:
        """Send a call once.

        Args:
            request: The call.
            timeout: Timeout in seconds; ``None`` for the default.

        Returns:
            The answer with any status; ``Unavailable`` if no connection was
            opened, ``Unanswered`` if the call may have taken effect or the
            answer is of an earlier era of the store.
        """
        sent = await self._sender.send(
            self._address,
            request,
            self._timeout if timeout is None else timeout,
        )
        if isinstance(sent, Ok):
            if self.era.accepts(sent.ok_value):
                return sent
            return Err(Unanswered('an answer of an earlier era'))
        failure = sent.err_value
        if isinstance(failure, ConnectFailed):
            return Err(Unavailable(failure.detail))
        return Err(Unanswered(failure.detail))


def json_request(path: str, message: msgspec.Struct) -> HttpRequest:
    """Return a POST request with a JSON body."""
    return HttpRequest(
        method='POST',
        path=path,
        headers={'content-type': 'application/json'},
        body=msgspec.json.encode(message),
    )


def decode_response(
    response: HttpResponse,
    reply_type: type[_ReplyT],
) -> Result[_ReplyT, Any]:
    """Decode the JSON body of an answer with status 200.

    Args:
        response: Answer of the store.
        reply_type: Type to decode the body to.
    """
    if response.status != HTTPStatus.OK:
        return Err(unexpected_status(response))
    try:
        return Ok(msgspec.json.decode(response.body, type=reply_type))
    except DECODE_ERRORS as error:
        return Err(Unanswered(f'reply that cannot be decoded: {error}'))


def unexpected_status(response: HttpResponse) -> StoreFailure:
    """Return the failure that corresponds to an unexpected status.

    Statuses 429 and 503 mean that the call was not executed; after any other
    status it may have taken effect.
    """
    detail = f'the store answered {response.status}'
    if response.status in _NOT_EXECUTED_STATUSES:
        return Unavailable(detail)
    return Unanswered(detail)
