"""Failures as answers."""

import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol

from carobwalk import profiles
from carobwalk.admin import _failures as calls
from carobwalk.admin._answers import hide_secrets, json_response
from carobwalk.admin._state_views import ErrorView
from carobwalk.http import HttpResponse

_REFUSED = 'refused'
_CONFLICT = 'conflict'
_CAPITAL = re.compile('(?<!^)(?=[A-Z])')

STATUS_BY_TYPE: Mapping[type, tuple[int, str]] = MappingProxyType(
    {
        calls.BadRequest: (400, _REFUSED),
        calls.Unauthenticated: (401, _REFUSED),
        calls.Forbidden: (403, _REFUSED),
        calls.UnknownPath: (404, _REFUSED),
        calls.MethodNotAllowed: (405, _REFUSED),
        calls.NotQuarantined: (404, _REFUSED),
        calls.RevisionRequired: (428, _REFUSED),
        calls.TooManyAttempts: (429, _REFUSED),
        calls.NotReady: (503, _REFUSED),
        profiles.NotFound: (404, _REFUSED),
        profiles.ChangeNotKept: (404, _REFUSED),
        profiles.AlreadyExists: (409, _CONFLICT),
        profiles.InUse: (409, _REFUSED),
        profiles.RevertsAnother: (409, _REFUSED),
        profiles.WriteIdTaken: (409, _REFUSED),
        profiles.StoreBehind: (409, _REFUSED),
        profiles.StaleRevision: (412, _CONFLICT),
        profiles.ConfigurationTooLarge: (413, _REFUSED),
        profiles.Invalid: (422, _REFUSED),
        profiles.StoreUnavailable: (503, _REFUSED),
        profiles.OutcomeUnknown: (504, 'unknown'),
    }
)


class DescribedFailure(Protocol):
    """A failure that says what happened and what can be done."""

    @property
    def detail(self) -> str:
        """What happened."""

    @property
    def way_out(self) -> str:
        """What the operator can do."""


def error_response(failure: DescribedFailure) -> HttpResponse:
    """Return the answer that tells of a failure."""
    status, outcome = STATUS_BY_TYPE[type(failure)]
    view = ErrorView(
        kind=kind_of(type(failure)),
        outcome=outcome,
        detail=failure.detail,
        way_out=failure.way_out,
        current_revision=getattr(failure, 'current_revision', None),
        changes=tuple(map(hide_secrets, getattr(failure, 'changes', ()))),
        problems=getattr(failure, 'problems', ()),
        services=getattr(failure, 'services', ()),
        children=getattr(failure, 'children', ()),
        write_id=getattr(failure, 'write_id', None) or None,
    )
    return json_response(status, view)


def kind_of(failure: type) -> str:
    """Return the name of a type of failure as answers show it."""
    return _CAPITAL.sub('-', failure.__name__).lower()
