"""Background load that runs during the steps."""

from carobwalk.model import Rank
from demo._context import DemoContext
from standins.fleet import Fleet
from standins.load import LoadPlan, RankMix, run_load

_DURATION_SECONDS = 3600
_REQUESTS_PER_SECOND = 30
_RANK_WEIGHTS = (6, 3, 1)


async def run_background(context: DemoContext, fleet: Fleet) -> None:
    """Send requests of all ranks to all entries until cancelled.

    Args:
        context: Collects what the callers saw.
        fleet: Deployment that receives the requests.
    """
    services = fleet.deployment.services
    mix = tuple(
        RankMix(rank, service.name, weight)
        for rank, service, weight in zip(
            Rank, services, _RANK_WEIGHTS, strict=True
        )
    )
    entries = fleet.entries_by_name.values()
    plan = LoadPlan(
        entries=tuple(entry.callers for entry in entries),
        mix=mix,
        seconds=_DURATION_SECONDS,
        rate=_REQUESTS_PER_SECOND,
        bulk_bytes=20_000,
        seed=len(fleet.deployment.name),
    )
    await run_load(plan, context.observations.append)
