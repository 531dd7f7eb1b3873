"""HTTP handler of explanations, next to that of scrapes."""

import importlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobwalk.app._gateway_core import GatewayCore
from carobwalk.gateway import (
    CandidateServers,
    ConnectionPool,
    CrashTracker,
    KeyedChooser,
    KeyOwners,
    LoadTable,
    RegionRules,
    SampledChoice,
    ServerCost,
)
from carobwalk.http import HttpHandler, HttpRequest, HttpResponse

EXPLAIN_PATH: Final = '/explain'
# Imported with the first question: few processes are asked, and all of them
# would pay for it in memory and start-up time.
_MODULE: Final = 'carobwalk.app._explain_call'


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainSources:
    """Components whose state is explained.

    Args:
        owners: Looks up the owner of a key.
        keyed: Chooser of requests with a key.
        loads: Load of each server.
        crash_tracker: Holds the quarantine.
        candidates: Tells which servers may be sent a request.
        regions: Limits servers by their regions.
        cost: Cost of a request by what this process observed.
        sampled: Choice by the digest, ``None`` if it isn't used.
        pool: Connections to the servers.
    """

    owners: KeyOwners
    keyed: KeyedChooser
    loads: LoadTable
    crash_tracker: CrashTracker
    candidates: CandidateServers
    regions: RegionRules
    cost: ServerCost
    sampled: SampledChoice | None
    pool: ConnectionPool


class ExplainHandler:
    """Answers ``GET /explain``; passes all other requests on.

    Args:
        core: Shared components of the process.
        sources: Components whose state is explained.
        records_age: Returns the seconds since the records were current.
        other: Handler of all other requests.
    """

    def __init__(
        self,
        core: GatewayCore,
        sources: ExplainSources,
        records_age: Callable[[], float],
        other: HttpHandler,
    ) -> None:
        self._core = core
        self._sources = sources
        self._records_age = records_age
        self._other = other
        self._answer: Callable[[HttpRequest], HttpResponse] | None = None

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answer a request."""
        if request.path != EXPLAIN_PATH:
            return await self._other(request)
        if self._answer is None:
            module = importlib.import_module(_MODULE)
            self._answer = module.build_explain_call(
                self._core, self._sources, self._records_age
            )
        return self._answer(request)
