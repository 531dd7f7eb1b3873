"""Check that the fences of keys rise from server to server."""

from collections import defaultdict

import trio

from carobwalk.model import ServerId


class FenceRecord:
    """Highest fence of each key at each server.

    Args:
        keys: Keys that are checked.
    """

    def __init__(self, keys: tuple[int, ...]) -> None:
        self.violations: list[str] = []
        self._keys = keys
        self._fences_by_key: dict[int, dict[ServerId, int]] = defaultdict(dict)

    def record(
        self,
        server: ServerId,
        bounds: tuple[int, int],
        fence: int,
    ) -> None:
        """Record a grant that a server accepted.

        Args:
            server: Server that accepted it.
            bounds: First and last key.
            fence: Fence of the grant.
        """
        first, last = bounds
        for key in self._keys:
            if first <= key <= last:
                self._record_key(server, key, fence)

    def _record_key(self, server: ServerId, key: int, fence: int) -> None:
        fences_by_server = self._fences_by_key[key]
        highest = max(
            (
                known
                for other, known in fences_by_server.items()
                if other != server
            ),
            default=0,
        )
        if fence <= highest:
            self.violations.append(
                f'{trio.current_time():.3f} key {key}: {server} with fence '
                f'{fence}, another server had {highest}',
            )
        known = fences_by_server.get(server, 0)
        fences_by_server[server] = max(known, fence)
