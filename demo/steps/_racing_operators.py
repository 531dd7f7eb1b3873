"""Two operators race on one change."""

from demo._commands import run_command
from demo._errors import MissingError
from demo._registry import step
from demo._scene import Scene


@step('two operators race on one change; one wins, the other is told')
async def race_operators(scene: Scene) -> str:
    """Edit one profile twice at once, from the same revision."""
    await run_command('profile', '--help')
    raise MissingError('the race by operators of the command line')
