"""Runs all steps and prints what was seen."""

import sys
from pathlib import Path

import trio

from demo import steps
from demo._background import run_background
from demo._deployments import CARONI, DONG_PHUONG
from demo._errors import MissingError, StepFailedError
from demo._outcome import StepOutcome, StepState
from demo._registry import Step, registered_steps
from demo._scene import Scene
from standins.fleet import Fleet
from standins.processes import ProcessError, Processes

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_MISSING = 3

__all__ = ('run_demo', 'steps')


async def run_demo(directory: Path, stays: bool) -> int:
    """Run the demo.

    Args:
        directory: Empty directory for logs, settings and records.
        stays: Whether to keep everything up until interrupted.

    Returns:
        0 if all steps were done, 1 if one failed, 3 if one is missing.
    """
    async with Processes(directory) as processes:
        scene = Scene(
            processes=processes,
            caroni=Fleet(processes, CARONI, directory),
            dong_phuong=Fleet(processes, DONG_PHUONG, directory),
            directory=directory,
        )
        _say('starting store, host list and backend servers, twice')
        for fleet in scene.fleets:
            await fleet.start()
        outcomes = await _run_steps(scene)
        if stays:
            await _stay(scene)
    return _summarise(outcomes, directory)


async def _run_steps(scene: Scene) -> list[StepOutcome]:
    try:
        for fleet in scene.fleets:
            await fleet.start_entries()
    except ProcessError as error:
        _say(f'no entry: {error}')
        return [
            StepOutcome(shown.title, StepState.FAILED, str(error), 0)
            for shown in registered_steps()
        ]
    outcomes: list[StepOutcome] = []
    async with trio.open_nursery() as nursery:
        for step in registered_steps():
            outcome = await _run_step(step, scene)
            _say(f'{outcome.state:8}{outcome.title}: {outcome.detail}')
            outcomes.append(outcome)
            if len(outcomes) == 1:
                nursery.start_soon(run_background, scene, scene.caroni)
                nursery.start_soon(run_background, scene, scene.dong_phuong)
        nursery.cancel_scope.cancel()
    return outcomes


async def _run_step(step: Step, scene: Scene) -> StepOutcome:
    began = trio.current_time()
    state, detail = StepState.DONE, ''
    try:
        detail = await step.function(scene)
    except* MissingError as missing:
        state, detail = StepState.MISSING, _describe(missing)
    except* (StepFailedError, ProcessError) as failed:
        state, detail = StepState.FAILED, _describe(failed)
    seconds = trio.current_time() - began
    return StepOutcome(step.title, state, detail, seconds)


def _describe(group: BaseExceptionGroup[BaseException]) -> str:
    """Return the texts of the errors in a group, which may be nested."""
    return '; '.join(
        _describe(error)
        if isinstance(error, BaseExceptionGroup)
        else str(error)
        for error in group.exceptions
    )


async def _stay(scene: Scene) -> None:
    for fleet in scene.fleets:
        for entry in fleet.entries_by_name.values():
            service = fleet.deployment.services[0].name
            _say(f'curl -i http://{entry.callers}/{service}/cases/1')
    _say('running until interrupted')
    try:
        await trio.sleep_forever()
    except KeyboardInterrupt:
        _say('ending all processes')


def _summarise(outcomes: list[StepOutcome], directory: Path) -> int:
    _say('summary')
    for ended in outcomes:
        _say(f'{ended.state:8}{ended.seconds:6.1f} s  {ended.title}')
    _say(f'logs, settings and run records are in {directory}')
    states = [outcome.state for outcome in outcomes]
    if StepState.FAILED in states:
        return EXIT_FAILED
    return EXIT_MISSING if StepState.MISSING in states else EXIT_DONE


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
