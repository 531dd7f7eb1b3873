"""Route registry of the administration API."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from carobwalk.admin._exchange import Exchange
from carobwalk.http import HttpResponse
from carobwalk.profiles import Role

RouteHandler: TypeAlias = Callable[[Exchange], Awaitable[HttpResponse]]

_VARIABLE_PREFIX = '{'


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryParameter:
    """A query parameter.

    Args:
        name: Name of the parameter.
        meaning: Description in the OpenAPI document.
    """

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
        path: Path template with parameters in braces.
        roles: Roles that a token must have; all are required.
        answers: Types of the bodies of successful responses.
        body: Type of the request body; ``None`` if there is none.
        query: Query parameters.
        writes: Whether it is a write that requires If-Match and accepts
            Idempotency-Key.
    """

    method: str
    path: str
    roles: tuple[Role, ...]
    answers: tuple[type, ...]
    body: type | None = None
    query: tuple[QueryParameter, ...] = ()
    writes: bool = False

    def match(self, path: str) -> Mapping[str, str] | None:
        """Return the path parameters by name, ``None`` if the path differs."""
        own = self.path.split('/')
        actual = path.split('/')
        if len(own) != len(actual):
            return None
        found: dict[str, str] = {}
        for expected, segment in zip(own, actual, strict=True):
            if expected.startswith(_VARIABLE_PREFIX):
                found[expected.strip('{}')] = segment
            elif expected != segment:
                return None
        return found


@dataclass(frozen=True, slots=True)
class ServedRoute:
    """A route and its handler.

    Args:
        route: The route.
        handler: Function that handles its requests.
    """

    route: Route
    handler: RouteHandler


registered_routes: list[ServedRoute] = []


def register_route(route: Route) -> Callable[[RouteHandler], RouteHandler]:
    """Return a decorator that registers the handler of a route."""

    def decorator(handler: RouteHandler) -> RouteHandler:
        registered_routes.append(ServedRoute(route, handler))
        return handler

    return decorator
