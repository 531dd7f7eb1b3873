"""Route of the replication status."""

from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._failures import BadRequest
from carobwalk.admin._responses import ok_response
from carobwalk.admin._route import QueryParameter, Route, register_route
from carobwalk.admin._state_views import StatusView
from carobwalk.http import HttpResponse
from carobwalk.profiles import Role


@register_route(
    Route(
        method='GET',
        path='/v1/status',
        roles=(Role.READ,),
        answers=(StatusView,),
        query=(
            QueryParameter(
                name='revision',
                meaning='revision asked for; the highest known if absent',
            ),
        ),
    ),
)
async def show_status(exchange: Exchange) -> HttpResponse:
    """Show how many processes have a revision in force, and who lags."""
    requested = exchange.request.query.get('revision', '')
    if requested and not requested.isdecimal():
        return error_response(
            BadRequest(f'revision={requested} is no revision')
        )
    status = await exchange.parts.follower.collect_status()
    revision = int(requested) if requested else status.revision
    lagging = status.lagging(revision)
    known = len(status.processes)
    view = StatusView(revision, known - len(lagging), known, lagging)
    return ok_response(view)
