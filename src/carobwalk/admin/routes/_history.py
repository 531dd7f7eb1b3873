"""Routes that read the change history."""

from result import Err

from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._failures import BadRequest
from carobwalk.admin._responses import ok_response, redact_secrets
from carobwalk.admin._route import QueryParameter, Route, register_route
from carobwalk.admin._views import HistoryView
from carobwalk.http import HttpResponse
from carobwalk.profiles import Change, Role


@register_route(
    Route(
        method='GET',
        path='/v1/history',
        roles=(Role.READ,),
        answers=(HistoryView,),
        query=(
            QueryParameter(
                name='before',
                meaning='revision that all returned ones are below',
            ),
            QueryParameter(
                name='subject',
                meaning='kind/name; only its changes are returned',
            ),
        ),
    ),
)
async def list_changes(exchange: Exchange) -> HttpResponse:
    """List a page of accepted changes, newest first."""
    before = exchange.request.query.get('before', '')
    if before and not before.isdecimal():
        return error_response(BadRequest(f'before={before} is no revision'))
    listed = await exchange.parts.history.list_changes(
        int(before) if before else None,
    )
    if isinstance(listed, Err):
        return error_response(listed.err_value)
    changes = listed.ok_value
    subject = exchange.request.query.get('subject')
    shown = tuple(
        redact_secrets(change)
        for change in changes
        if subject in {None, str(change.subject)}
    )
    return ok_response(HistoryView(shown, _next_before(changes)))


def _next_before(changes: tuple[Change, ...]) -> int | None:
    if changes and changes[-1].revision > 1:
        return changes[-1].revision
    return None


@register_route(
    Route(
        method='GET',
        path='/v1/writes/{write_id}',
        roles=(Role.READ,),
        answers=(Change,),
    ),
)
async def find_write(exchange: Exchange) -> HttpResponse:
    """Settle whether a write took effect, by its identity."""
    write_id = exchange.path['write_id']
    found = await exchange.parts.history.find_write(write_id)
    if isinstance(found, Err):
        return error_response(found.err_value)
    return ok_response(redact_secrets(found.ok_value))
