"""Server of small HTTP exchanges."""

from collections.abc import Mapping
from functools import partial
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import trio

from carobwalk.events import EventLog, NullEventLog
from carobwalk.http._guarded_handler import GuardedHandler
from carobwalk.http._h11_stream import H11Stream
from carobwalk.http._handler import HttpHandler
from carobwalk.http._messages import HttpRequest, HttpResponse

_BODY_LIMIT_BYTES: Final = 2_097_152
_IDLE_SECONDS: Final = 120
_TOO_LARGE: Final = HttpResponse(
    status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    body=b'body too large\n',
)


async def serve_http(
    handler: HttpHandler,
    listeners: list[trio.SocketListener],
    events: EventLog | None = None,
) -> None:
    """Answer small requests on all connections until cancelled.

    Args:
        handler: Answers each request; its exceptions become status 500.
        listeners: Open listeners.
        events: Log of the handler's exceptions.
    """
    guarded = GuardedHandler(handler, events or NullEventLog())
    await trio.serve_listeners(
        partial(serve_http_stream, guarded),
        listeners,
    )


async def serve_http_stream(
    handler: HttpHandler,
    stream: trio.abc.Stream,
) -> None:
    """Answer the small requests of one connection, one after another."""
    connection = H11Stream(stream, h11.SERVER)
    try:
        await _serve_requests(handler, connection)
    except (h11.ProtocolError, trio.BrokenResourceError):
        pass  # The other side broke the connection off; nothing is owed.
    finally:
        with trio.move_on_after(1) as cleanup:
            cleanup.shield = True
            await stream.aclose()


async def _serve_requests(
    handler: HttpHandler,
    connection: H11Stream,
) -> None:
    while True:
        with trio.move_on_after(_IDLE_SECONDS):
            event = await connection.receive()
            if not isinstance(event, h11.Request):
                return
            response = await _answer(handler, connection, event)
            await _send_response(connection, response)
            if not connection.is_reusable:
                return
            connection.protocol.start_next_cycle()
            continue
        return


async def _answer(
    handler: HttpHandler,
    connection: H11Stream,
    event: h11.Request,
) -> HttpResponse:
    body = await connection.read_body(_BODY_LIMIT_BYTES)
    if body is None:
        return _TOO_LARGE
    return await handler(parse_request(event, body))


def parse_request(event: h11.Request, body: bytes) -> HttpRequest:
    """Return the request that a head and a body make up."""
    parts = urlsplit(event.target.decode('latin-1'))
    return HttpRequest(
        method=event.method.decode('ascii'),
        path=unquote(parts.path),
        query=dict(parse_qsl(parts.query)),
        headers=parse_headers(event.headers),
        body=body,
    )


def parse_headers(headers: h11._headers.Headers) -> Mapping[str, str]:
    """Return header fields by name in lower case."""
    return {
        name.decode('latin-1'): text.decode('latin-1') for name, text in headers
    }


async def _send_response(
    connection: H11Stream,
    response: HttpResponse,
) -> None:
    headers = [
        *response.headers.items(),
        ('content-length', str(len(response.body))),
    ]
    await connection.send(
        h11.Response(status_code=response.status, headers=headers),
        h11.Data(data=response.body),
        h11.EndOfMessage(),
    )
