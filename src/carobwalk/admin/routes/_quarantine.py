"""Routes of the quarantine."""

from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._failures import NotQuarantined
from carobwalk.admin._responses import ok_response
from carobwalk.admin._route import Route, register_route
from carobwalk.admin._state_views import ClearedView, QuarantineList
from carobwalk.http import HttpResponse
from carobwalk.profiles import Role


@register_route(
    Route(
        method='GET',
        path='/v1/quarantine',
        roles=(Role.READ,),
        answers=(QuarantineList,),
    ),
)
async def list_quarantine(exchange: Exchange) -> HttpResponse:
    """List the requests that are in quarantine."""
    view = QuarantineList(exchange.parts.quarantine.entries())
    return ok_response(view)


@register_route(
    Route(
        method='DELETE',
        path='/v1/quarantine/{identity}',
        roles=(Role.EDIT,),
        answers=(ClearedView,),
    ),
)
async def clear_quarantine(exchange: Exchange) -> HttpResponse:
    """Let a request out of quarantine, on every entry."""
    identity = exchange.path['identity']
    quarantine = exchange.parts.quarantine
    if await quarantine.clear(identity, exchange.operator):
        return ok_response(ClearedView(identity))
    return error_response(NotQuarantined(identity))
