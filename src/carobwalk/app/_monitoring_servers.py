"""HTTP servers of readiness checks, metric scrapes and explanations."""

from collections.abc import Callable

import trio

from carobwalk.app._explain_handler import ExplainHandler, ExplainSources
from carobwalk.app._gateway_core import GatewayCore
from carobwalk.app._listeners import open_listener
from carobwalk.app._readiness_handler import ReadinessHandler
from carobwalk.http import HttpHandler, serve_http
from carobwalk.metrics import ScrapeHandler
from carobwalk.model import Address
from carobwalk.platform import READINESS_PATH


async def serve_monitoring(
    core: GatewayCore,
    is_ready: Callable[[], bool],
    explained: ExplainSources,
    records_age: Callable[[], float],
    nursery: trio.Nursery,
) -> None:
    """Serve readiness checks and scrapes until the nursery is cancelled.

    Args:
        core: Shared components of the process.
        is_ready: Returns whether the process accepts callers.
        explained: Components whose state is explained.
        records_age: Returns the seconds since the records were current.
        nursery: Runs the servers.

    Raises:
        OSError: If a listener cannot be opened.
    """
    listen = core.settings.listen
    handlers_by_address: dict[Address, HttpHandler] = {
        listen.readiness: ReadinessHandler(READINESS_PATH, is_ready),
        listen.metrics: ExplainHandler(
            core, explained, records_age, ScrapeHandler(core.metrics)
        ),
    }
    for address, handler in handlers_by_address.items():
        nursery.start_soon(
            serve_http,
            handler,
            await open_listener(address),
            core.events,
        )
