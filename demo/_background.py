"""Load that goes on during all steps."""

from carobwalk.model import Rank
from demo._scene import Scene
from standins.fleet import Fleet
from standins.load import LoadPlan, RankMix, run_load

_HOUR_SECONDS = 3600
_RATE = 30
_WEIGHTS = (6, 3, 1)


async def run_background(scene: Scene, fleet: Fleet) -> None:
    """Send requests of all ranks to all entries until cancelled."""
    services = fleet.deployment.services
    mix = tuple(
        RankMix(rank, service.name, weight)
        for rank, service, weight in zip(Rank, services, _WEIGHTS, strict=True)
    )
    entries = fleet.entries_by_name.values()
    plan = LoadPlan(
        entries=tuple(entry.callers for entry in entries),
        mix=mix,
        seconds=_HOUR_SECONDS,
        rate=_RATE,
        bulk_bytes=20_000,
        seed=len(fleet.deployment.name),
    )
    await run_load(plan, scene.observations.append)
