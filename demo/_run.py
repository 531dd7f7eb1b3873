"""Runs all steps and prints their outcomes."""

import sys
from pathlib import Path

import trio

from demo import steps
from demo._background import run_background
from demo._context import DemoContext
from demo._deployments import CARONI, DONG_PHUONG
from demo._errors import MissingError, StepFailedError
from demo._outcome import StepOutcome, StepState
from demo._registry import Step, registered_steps
from standins.fleet import Fleet
from standins.processes import ProcessError, Processes

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_MISSING = 3

__all__ = ('run_demo', 'steps')


async def run_demo(directory: Path, keeps_running: bool) -> int:
    """Run both deployments and all steps.

    Args:
        directory: Empty directory for logs, settings and run records.
        keeps_running: Whether the processes keep running after the last step
            until interrupted.

    Returns:
        0 if all steps succeeded, 1 if one failed, 3 if none failed but one
        is not implemented yet.
    """
    async with Processes(directory) as processes:
        context = DemoContext(
            processes=processes,
            caroni=Fleet(processes, CARONI, directory),
            dong_phuong=Fleet(processes, DONG_PHUONG, directory),
            directory=directory,
        )
        _print_line('starting store, host list and backend servers, twice')
        for fleet in context.fleets:
            await fleet.start()
        outcomes = await _run_steps(context)
        if keeps_running:
            await _keep_running(context)
    return _summarise(outcomes, directory)


async def _run_steps(context: DemoContext) -> list[StepOutcome]:
    try:
        for fleet in context.fleets:
            await fleet.start_entries()
    except ProcessError as error:
        _print_line(f'no entry: {error}')
        return [
            StepOutcome(each.title, StepState.FAILED, str(error), 0)
            for each in registered_steps()
        ]
    outcomes: list[StepOutcome] = []
    async with trio.open_nursery() as nursery:
        for step in registered_steps():
            outcome = await _run_step(step, context)
            _print_line(f'{outcome.state:8}{outcome.title}: {outcome.detail}')
            outcomes.append(outcome)
            if len(outcomes) == 1:
                nursery.start_soon(run_background, context, context.caroni)
                nursery.start_soon(run_background, context, context.dong_phuong)
        nursery.cancel_scope.cancel()
    return outcomes


async def _run_step(step: Step, context: DemoContext) -> StepOutcome:
    started_at = trio.current_time()
    state, detail = StepState.DONE, ''
    try:
        detail = await step.function(context)
    except* MissingError as missing:
        state, detail = StepState.MISSING, _describe(missing)
    except* (StepFailedError, ProcessError) as failed:
        state, detail = StepState.FAILED, _describe(failed)
    seconds = trio.current_time() - started_at
    return StepOutcome(step.title, state, detail, seconds)


def _describe(group: BaseExceptionGroup[BaseException]) -> str:
    """Return the joined texts of the errors in a possibly nested group."""
    return '; '.join(
        _describe(error)
        if isinstance(error, BaseExceptionGroup)
        else str(error)
        for error in group.exceptions
    )


async def _keep_running(context: DemoContext) -> None:
    for fleet in context.fleets:
        for entry in fleet.entries_by_name.values():
            service = fleet.deployment.services[0].name
            _print_line(f'curl -i http://{entry.callers}/{service}/cases/1')
    _print_line('running until interrupted')
    try:
        await trio.sleep_forever()
    except KeyboardInterrupt:
        _print_line('ending all processes')


def _summarise(outcomes: list[StepOutcome], directory: Path) -> int:
    _print_line('summary')
    for each in outcomes:
        _print_line(f'{each.state:8}{each.seconds:6.1f} s  {each.title}')
    _print_line(f'logs, settings and run records are in {directory}')
    states = [outcome.state for outcome in outcomes]
    if StepState.FAILED in states:
        return EXIT_FAILED
    return EXIT_MISSING if StepState.MISSING in states else EXIT_DONE


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
