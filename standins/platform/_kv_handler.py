"""HTTP interface of the key-value service of the users' platform."""

import base64
from dataclasses import replace
from http import HTTPStatus
from typing import Any

import msgspec
from result import Err, Result

from carobwalk.http import HttpRequest, HttpResponse
from carobwalk.store import (
    Compacted,
    Conflict,
    LeaseId,
    LeaseLost,
    Removed,
    StoreFailure,
    Unavailable,
    Versioned,
)
from standins.platform._kv_store import KvStore

_MILLISECONDS_PER_SECOND = 1000


class KvHandler:
    """Serves the calls of the key-value service.

    Args:
        store: The records.
        page_size: Maximum number of records of a page.
    """

    def __init__(self, store: KvStore, page_size: int = 3) -> None:
        self._store = store
        self._page_size = page_size
        self._handlers_by_path = {
            'kv-range': self._range,
            'kv-watch': self._watch,
            'kv-txn': self._commit,
            'kv-lease': self._open_lease,
        }

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answer one call, with the era of a store that was restored."""
        response = await self._answer(request)
        if not self._store.era:
            return response
        headers = {**response.headers, 'store-era': str(self._store.era)}
        return replace(response, headers=headers)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        path, _, lease = request.path.lstrip('/').partition('/')
        handler = self._handlers_by_path.get(path)
        if handler is not None:
            return await handler(request)
        match path:
            case 'kv-keep':
                return _empty_response(
                    await self._store.keep_alive(LeaseId(lease))
                )
            case 'kv-lease-end':
                return _empty_response(
                    await self._store.end_lease(LeaseId(lease))
                )
        return HttpResponse(HTTPStatus.NOT_FOUND)

    async def _range(self, request: HttpRequest) -> HttpResponse:
        listed = await self._store.list_records(request.query['prefix'])
        if isinstance(listed, Err):
            return _refusal(listed.err_value)
        after = request.query.get('after', '')
        rows = [row for row in listed.ok_value.records if row.name > after]
        page = rows[: self._page_size]
        body = {
            'items': [_row(row) for row in page],
            'has_more': len(rows) > len(page),
            'as_of': listed.ok_value.revision,
        }
        return _json(HTTPStatus.OK, body)

    async def _watch(self, request: HttpRequest) -> HttpResponse:
        watched = await self._store.watch_records(
            request.query['prefix'],
            int(request.query['after']),
            int(request.query['wait_ms']) / _MILLISECONDS_PER_SECOND,
        )
        if isinstance(watched, Err):
            return _refusal(watched.err_value)
        body = {
            'events': [_row(row) for row in watched.ok_value.changes],
            'as_of': watched.ok_value.revision,
        }
        return _json(HTTPStatus.OK, body)

    async def _commit(self, request: HttpRequest) -> HttpResponse:
        message = msgspec.json.decode(request.body)
        condition = message['precondition'][0]
        if message['remove']:
            done = await self._store.remove(
                condition['key'],
                condition['revision'],
            )
        else:
            row = message['set_keys'][0]
            done = await self._store.write(
                row['key'],
                base64.b64decode(row['value'], validate=True),
                condition['revision'],
                LeaseId(str(row['lease'])) if row['lease'] else None,
            )
        if isinstance(done, Err):
            return _refusal(done.err_value)
        return _json(HTTPStatus.OK, {'revision': done.ok_value})

    async def _open_lease(self, request: HttpRequest) -> HttpResponse:
        ttl = msgspec.json.decode(request.body)['ttl_s_time']
        opened = await self._store.open_lease(ttl)
        if isinstance(opened, Err):
            return _refusal(opened.err_value)
        body = {'lease': int(opened.ok_value), 'ttl_s_time': ttl}
        return _json(HTTPStatus.OK, body)


def _empty_response(done: Result[None, StoreFailure]) -> HttpResponse:
    if isinstance(done, Err):
        return _refusal(done.err_value)
    return _json(HTTPStatus.OK, {})


def _refusal(failure: object) -> HttpResponse:
    match failure:
        case Conflict(current):
            rows = [_row(current)] if current else []
            return _json(HTTPStatus.PRECONDITION_FAILED, {'items': rows})
        case LeaseLost():
            return HttpResponse(HTTPStatus.NOT_FOUND)
        case Compacted():
            return HttpResponse(HTTPStatus.GONE)
        case Unavailable():
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)
    return HttpResponse(HTTPStatus.INTERNAL_SERVER_ERROR)


def _row(row: Versioned | Removed) -> dict[str, Any]:
    if isinstance(row, Removed):
        return {'key': row.name, 'revision': row.revision, 'deleted': True}
    return {
        'key': row.name,
        'value': base64.b64encode(row.content).decode(),
        'revision': row.revision,
        'created': row.revision,
        'lease': 0,
    }


def _json(status: HTTPStatus, body: dict[str, Any]) -> HttpResponse:
    return HttpResponse(
        status,
        {'content-type': 'application/json'},
        msgspec.json.encode(body),
    )
