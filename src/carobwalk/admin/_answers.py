"""JSON answers."""

from dataclasses import replace
from http import HTTPStatus

import msgspec

from carobwalk.http import HttpResponse
from carobwalk.profiles import Change, FieldChange, SubjectKind

_SECRET_FIELD = 'secret_hash'
_HIDDEN = '(hidden)'


def json_response(
    status: int,
    view: object,
    revision: int | None = None,
) -> HttpResponse:
    """Return a JSON answer.

    Args:
        status: HTTP status.
        view: Data class of the body.
        revision: Revision for the ETag.
    """
    headers = {'content-type': 'application/json'}
    if revision is not None:
        headers['etag'] = f'"{revision}"'
    return HttpResponse(
        status,
        headers,
        msgspec.json.encode(view),
    )


def ok_response(view: object, revision: int | None = None) -> HttpResponse:
    """Return a successful JSON answer; see ``json_response``."""
    return json_response(HTTPStatus.OK, view, revision)


def hide_secrets(change: Change) -> Change:
    """Return an entry of the history without the hashes of tokens."""
    if change.subject.kind is not SubjectKind.OPERATOR:
        return change
    fields = tuple(
        FieldChange(entry.field, _HIDDEN, _HIDDEN)
        if entry.field == _SECRET_FIELD
        else entry
        for entry in change.fields
    )
    return replace(change, fields=fields)
