"""Where the configuration is in force."""

from carobwalk.admin._answers import ok_response
from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._failures import BadRequest
from carobwalk.admin._route import QueryParameter, Route, serves
from carobwalk.admin._state_views import StatusView
from carobwalk.http import HttpResponse
from carobwalk.profiles import Role


@serves(
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
    asked = exchange.request.query.get('revision', '')
    if asked and not asked.isdecimal():
        return error_response(BadRequest(f'revision={asked} is no revision'))
    status = await exchange.parts.follower.survey()
    revision = int(asked) if asked else status.revision
    lagging = status.lagging(revision)
    known = len(status.processes)
    view = StatusView(revision, known - len(lagging), known, lagging)
    return ok_response(view)
