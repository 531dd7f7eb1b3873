"""Routes that write profiles."""

from result import Err

from carobwalk.admin._bodies import (
    Deletion,
    NewProfile,
    ProfileFields,
    Reversal,
)
from carobwalk.admin._error_view import error_response
from carobwalk.admin._exchange import Exchange
from carobwalk.admin._revert import build_revert
from carobwalk.admin._route import DRY_RUN, Route, register_route
from carobwalk.admin._views import PreviewView, WriteView
from carobwalk.admin._writes import Statement, handle_deletion, handle_write
from carobwalk.http import HttpResponse
from carobwalk.profiles import Action, Role, Subject, SubjectKind


def _subject(exchange: Exchange) -> Subject:
    return Subject(SubjectKind.PROFILE, exchange.path['name'])


@register_route(
    Route(
        method='POST',
        path='/v1/profiles',
        roles=(Role.EDIT,),
        body=NewProfile,
        answers=(WriteView, PreviewView),
        query=(DRY_RUN,),
        writes=True,
    ),
)
async def create_profile(exchange: Exchange) -> HttpResponse:
    """Create a profile, based on a revision of the configuration."""
    stated = exchange.body(NewProfile).map(
        lambda body: Statement(
            subject=Subject(SubjectKind.PROFILE, body.name),
            action=Action.CREATE,
            fields=body.fields,
            reason=body.reason,
            reverting=body.reverting,
        ),
    )
    return await handle_write(exchange, stated)


@register_route(
    Route(
        method='PUT',
        path='/v1/profiles/{name}',
        roles=(Role.EDIT,),
        body=ProfileFields,
        answers=(WriteView, PreviewView),
        query=(DRY_RUN,),
        writes=True,
    ),
)
async def edit_profile(exchange: Exchange) -> HttpResponse:
    """Replace the fields that a profile sets itself."""
    stated = exchange.body(ProfileFields).map(
        lambda body: Statement(
            subject=_subject(exchange),
            action=Action.EDIT,
            fields=body.fields,
            reason=body.reason,
            reverting=body.reverting,
        ),
    )
    return await handle_write(exchange, stated)


@register_route(
    Route(
        method='DELETE',
        path='/v1/profiles/{name}',
        roles=(Role.EDIT,),
        body=Deletion,
        answers=(WriteView, PreviewView),
        query=(DRY_RUN,),
        writes=True,
    ),
)
async def delete_profile(exchange: Exchange) -> HttpResponse:
    """Delete a profile that nothing uses."""
    return await handle_deletion(exchange, _subject(exchange))


@register_route(
    Route(
        method='POST',
        path='/v1/profiles/{name}/revert',
        roles=(Role.EDIT,),
        body=Reversal,
        answers=(WriteView, PreviewView),
        query=(DRY_RUN,),
    ),
)
async def revert_profile(exchange: Exchange) -> HttpResponse:
    """Take back one change of a profile, stating so in the history."""
    decoded = exchange.body(Reversal)
    if isinstance(decoded, Err):
        return error_response(decoded.err_value)
    stated = await build_revert(
        exchange.parts,
        _subject(exchange),
        decoded.ok_value,
    )
    return await handle_write(exchange, stated)
