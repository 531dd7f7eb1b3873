"""Registry of the routes of the administration."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from carobwalk.admin._exchange import Exchange
from carobwalk.http import HttpResponse
from carobwalk.profiles import Role

RouteHandler: TypeAlias = Callable[[Exchange], Awaitable[HttpResponse]]

_VARIABLE = '{'


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryParameter:
    """A parameter of the query and its meaning."""

    name: str
    meaning: str


DRY_RUN = QueryParameter(
    name='dry_run',
    meaning='true to try the write without making it',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One method of one path.

    Args:
        method: HTTP method.
        path: Path with variable segments in braces.
        roles: Roles that a token must have, all of them.
        answers: Types of the bodies of successful answers.
        body: Type of the request's body, if it takes one.
        query: Parameters of the query.
        writes: Whether it is a write, which names a revision.
    """

    method: str
    path: str
    roles: tuple[Role, ...]
    answers: tuple[type, ...]
    body: type | None = None
    query: tuple[QueryParameter, ...] = ()
    writes: bool = False

    def match(self, path: str) -> Mapping[str, str] | None:
        """Return the variable segments of a path, if it is this route's."""
        own = self.path.split('/')
        given = path.split('/')
        if len(own) != len(given):
            return None
        found: dict[str, str] = {}
        for expected, segment in zip(own, given, strict=True):
            if expected.startswith(_VARIABLE):
                found[expected.strip('{}')] = segment
            elif expected != segment:
                return None
        return found


@dataclass(frozen=True, slots=True)
class ServedRoute:
    """A route and the function that answers it."""

    route: Route
    handler: RouteHandler


served_routes: list[ServedRoute] = []


def serves(route: Route) -> Callable[[RouteHandler], RouteHandler]:
    """Register the function that answers a route."""

    def decorator(handler: RouteHandler) -> RouteHandler:
        served_routes.append(ServedRoute(route, handler))
        return handler

    return decorator
