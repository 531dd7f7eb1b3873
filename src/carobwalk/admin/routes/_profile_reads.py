"""Reads of profiles."""

from carobwalk.admin._answers import ok_response
from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange, Reading
from carobwalk.admin._route import Route, serves
from carobwalk.admin._views import ProfileList, ProfileSummary, ProfileView
from carobwalk.http import HttpResponse
from carobwalk.model import ProfileName
from carobwalk.profiles import (
    Entity,
    NotFound,
    Role,
    Subject,
    SubjectKind,
    find_use,
    plain_fields,
    resolve,
)


def _uses(
    reading: Reading, name: str
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    subject = Subject(SubjectKind.PROFILE, name)
    use = find_use(reading.configuration, subject)
    return (use.services, use.children) if use else ((), ())


def _summary(reading: Reading, name: str, entity: Entity) -> ProfileSummary:
    services, _ = _uses(reading, name)
    return ProfileSummary(
        name,
        entity.revision,
        entity.fields.get('parent'),
        len(services),
    )


@serves(
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


@serves(
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
    services, children = _uses(reading, name)
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
