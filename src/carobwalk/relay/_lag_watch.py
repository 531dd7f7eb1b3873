"""Detection of a relay that lags or hangs."""

from typing import Final

import trio
from result import Ok, Result

from carobwalk.model import Endpoint
from carobwalk.relay._relay_choice import RelayChoice
from carobwalk.relay._relay_client import RelayClient, RelayFailure

# How long the second relay waits for changes before it answers.
_HOLD_SECONDS: Final = 1.0
# How much later than the second relay the followed one may tell a change.
_MAX_LAG_SECONDS: Final = 0.15
_CHECK_SECONDS: Final = 0.4


class LagWatch:
    """Asks a second relay for notices, and gives up a first that lags.

    Args:
        client: Asks relays.
        choice: The relays.
    """

    def __init__(self, client: RelayClient, choice: RelayChoice) -> None:
        self._client = client
        self._choice = choice

    async def run(self) -> None:
        """Compare the relays at each change until cancelled."""
        while True:
            second = self._choice.second()
            if second is None:
                with trio.move_on_after(_CHECK_SECONDS):
                    await self._choice.changed.wait()
                continue
            told = await self._await_notice(second)
            if isinstance(told, Ok):
                await self._compare(told.ok_value)
            elif told is not None:
                self._choice.suspect(second)

    async def _compare(self, revisions: tuple[int, ...]) -> None:
        """Give the followed relay up if it doesn't know changes soon.

        One that knows them has sent them: on a thin link a large record is
        longer on its way than a notice, and would be no sooner from another.

        Args:
            revisions: Last changes of all prefixes by the second relay.
        """
        await trio.sleep(_MAX_LAG_SECONDS)
        if self._client.knows(revisions):
            return
        if not await self._is_known_at_first(revisions):
            self._choice.give_up()

    async def _is_known_at_first(self, revisions: tuple[int, ...]) -> bool:
        first = self._choice.first()
        if first is None:
            return False
        told = await self._client.await_notice(first, 0)
        if not isinstance(told, Ok):
            return self._client.knows(revisions)
        pairs = zip(told.ok_value, revisions, strict=False)
        return all(known >= revision for known, revision in pairs)

    async def _await_notice(
        self, second: Endpoint
    ) -> Result[tuple[int, ...], RelayFailure] | None:
        """Ask for a notice; return ``None`` if another relay is followed.

        That may be the one asked here, which can't tell of itself that it lags.
        """
        told = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_change, nursery.cancel_scope)
            told = await self._client.await_notice(second, _HOLD_SECONDS)
            nursery.cancel_scope.cancel()
        return told

    async def _cancel_on_change(self, scope: trio.CancelScope) -> None:
        await self._choice.changed.wait()
        scope.cancel()
