"""Routes that read profiles."""

from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange, Reading
from carobwalk.admin._responses import ok_response
from carobwalk.admin._route import Route, register_route
from carobwalk.admin._views import ProfileList, ProfileSummary, ProfileView
from carobwalk.http import HttpResponse
from carobwalk.model import ProfileName
from carobwalk.profiles import (
    Entity,
    NotFound,
    Role,
    Subject,
    SubjectKind,
    find_dependents,
    plain_fields,
    resolve,
)


def _dependents_of(
    reading: Reading, name: str
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    subject = Subject(SubjectKind.PROFILE, name)
    dependents = find_dependents(reading.configuration, subject)
    return (
        (dependents.services, dependents.children) if dependents else ((), ())
    )


def _summary(reading: Reading, name: str, entity: Entity) -> ProfileSummary:
    services, _ = _dependents_of(reading, name)
    return ProfileSummary(
        name,
        entity.revision,
        entity.fields.get('parent'),
        len(services),
    )


@register_route(
    Route(
        method='GET',
        path='/v1/profiles',
        roles=(Role.READ,),
        answers=(ProfileList,),
    ),
)
async def list_profiles(exchange: Exchange) -> HttpResponse:
    """List all profiles."""
    reading = await exchange.read()
    profiles = tuple(
        _summary(reading, name, entity)
        for name, entity in reading.configuration.of_kind(SubjectKind.PROFILE)
    )
    revision = reading.configuration.revision
    view = ProfileList(revision, profiles, reading.source)
    return ok_response(view, revision)


@register_route(
    Route(
        method='GET',
        path='/v1/profiles/{name}',
        roles=(Role.READ,),
        answers=(ProfileView,),
    ),
)
async def show_profile(exchange: Exchange) -> HttpResponse:
    """Show a profile with its own and its resolved fields."""
    name = exchange.path['name']
    reading = await exchange.read()
    subject = Subject(SubjectKind.PROFILE, name)
    entity = reading.configuration.find(subject)
    if entity is None:
        return error_response(NotFound(subject))
    services, children = _dependents_of(reading, name)
    catalogue = resolve(reading.configuration)
    view = ProfileView(
        name=name,
        revision=entity.revision,
        fields=entity.fields,
        resolved=plain_fields(catalogue.profiles_by_name[ProfileName(name)]),
        services=services,
        children=children,
        source=reading.source,
    )
    return ok_response(view, entity.revision)
