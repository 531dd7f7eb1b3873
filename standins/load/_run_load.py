"""Closed-loop and open-loop load."""

from collections.abc import Callable

import trio

from standins.load._callers import Callers
from standins.load._generator import TaskGenerator
from standins.load._observation import Observation
from standins.load._plan import LoadPlan
from standins.load._task import LoadTask

Observe = Callable[[Observation], None]


async def run_load(plan: LoadPlan, observe: Observe) -> None:
    """Send the requests of a plan and wait until all have ended.

    Args:
        plan: The plan; a non-zero rate selects an open loop.
        observe: Called with the result of each request.
    """
    callers = Callers(plan.timeout)
    generator = TaskGenerator(plan)
    ends_at = trio.current_time() + plan.seconds
    async with trio.open_nursery() as nursery:
        if plan.rate:
            while trio.current_time() < ends_at:
                task = generator.next_task()
                nursery.start_soon(_send, callers, task, observe)
                await trio.sleep(generator.next_delay())
            return
        for _ in range(plan.callers):
            nursery.start_soon(
                _run_caller, callers, generator, observe, ends_at
            )


async def _run_caller(
    callers: Callers,
    generator: TaskGenerator,
    observe: Observe,
    ends_at: float,
) -> None:
    while trio.current_time() < ends_at:
        await _send(callers, generator.next_task(), observe)


async def _send(callers: Callers, task: LoadTask, observe: Observe) -> None:
    observe(await callers.send(task))
