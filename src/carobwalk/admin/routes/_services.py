"""Routes of services and their assignment to profiles."""

from carobwalk.admin._bodies import Assignment
from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._responses import ok_response
from carobwalk.admin._route import DRY_RUN, Route, register_route
from carobwalk.admin._views import (
    PreviewView,
    ServiceList,
    ServiceView,
    WriteView,
)
from carobwalk.admin._writes import Statement, handle_write
from carobwalk.http import HttpResponse
from carobwalk.profiles import Action, NotFound, Role, Subject, SubjectKind

_PROFILE_FIELD = 'profile'


@register_route(
    Route(
        method='GET',
        path='/v1/services',
        roles=(Role.READ,),
        answers=(ServiceList,),
    ),
)
async def list_services(exchange: Exchange) -> HttpResponse:
    """List all services and their profiles."""
    reading = await exchange.read()
    services = tuple(
        ServiceView(
            name,
            entity.revision,
            entity.fields[_PROFILE_FIELD],
            reading.source,
        )
        for name, entity in reading.configuration.of_kind(SubjectKind.SERVICE)
    )
    revision = reading.configuration.revision
    view = ServiceList(revision, services, reading.source)
    return ok_response(view, revision)


@register_route(
    Route(
        method='GET',
        path='/v1/services/{name}',
        roles=(Role.READ,),
        answers=(ServiceView,),
    ),
)
async def show_service(exchange: Exchange) -> HttpResponse:
    """Show a service and its profile."""
    subject = Subject(SubjectKind.SERVICE, exchange.path['name'])
    reading = await exchange.read()
    entity = reading.configuration.find(subject)
    if entity is None:
        return error_response(NotFound(subject))
    view = ServiceView(
        subject.name,
        entity.revision,
        entity.fields[_PROFILE_FIELD],
        reading.source,
    )
    return ok_response(view, entity.revision)


@register_route(
    Route(
        method='PUT',
        path='/v1/services/{name}',
        roles=(Role.ASSIGN,),
        body=Assignment,
        answers=(WriteView, PreviewView),
        query=(DRY_RUN,),
        writes=True,
    ),
)
async def assign_service(exchange: Exchange) -> HttpResponse:
    """Assign a service, known or new, to a profile."""
    stated = exchange.body(Assignment).map(
        lambda body: Statement(
            subject=Subject(SubjectKind.SERVICE, exchange.path['name']),
            action=Action.PUT,
            fields={_PROFILE_FIELD: body.profile},
            reason=body.reason,
            reverting=body.reverting,
        ),
    )
    return await handle_write(exchange, stated)
