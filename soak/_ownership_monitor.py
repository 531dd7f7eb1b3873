"""Continuous check that no two backend servers hold the same keys."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain, combinations, product
from typing import Final

import trio

from carobwalk.model import ServerId
from soak._invariant_checker import InvariantChecker
from standins.platform import KeyHolder, Order, find_double_keys

_INTERVAL_SECONDS: Final = 0.02
_MAX_REPORTED_REQUESTS: Final = 6


@dataclass(frozen=True, slots=True)
class AppliedGrant:
    """A grant that a server accepted.

    Args:
        server: Server and incarnation, as ``NAME@BORN``.
        router: Router that sent it.
        fence: Fence of the grant.
        arrived_at: Time of its arrival.
        applied_at: Time at which it was applied.
        expires_at: Time at which it expires.
    """

    server: str
    router: str
    fence: int
    arrived_at: float
    applied_at: float
    expires_at: float

    def __str__(self) -> str:
        """Return a description for reports."""
        return (
            f'{self.server} fence {self.fence} from {self.router} '
            f'arrived {self.arrived_at:.3f} applied {self.applied_at:.3f} '
            f'until {self.expires_at:.3f}'
        )


@dataclass(slots=True)
class _Overlap:
    since: float
    owners: tuple[ServerId, ...]
    requests_by_server: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def __str__(self) -> str:
        requests = [
            f'{server} began {len(ids)}: {ids[:_MAX_REPORTED_REQUESTS]}'
            for server, ids in sorted(self.requests_by_server.items())
        ]
        return f'{list(self.owners)} since {self.since:.3f}; {requests}'


class OwnershipMonitor:
    """Reports keys with two owners, from their start to their end.

    Args:
        holders_by_id: Keys held by the current incarnation of each server.
        keys: Keys that are checked.
        checker: Receives violations.
    """

    def __init__(
        self,
        holders_by_id: Mapping[ServerId, KeyHolder],
        keys: tuple[int, ...],
        checker: InvariantChecker,
    ) -> None:
        self._holders_by_id = holders_by_id
        self._checker = checker
        self._grants: dict[tuple[ServerId, int], AppliedGrant] = {}
        self._overlaps_by_key: dict[int, _Overlap] = {}
        self._keys = keys

    async def run(self) -> None:
        """Check at short intervals until cancelled."""
        while True:
            self.check()
            await trio.sleep(_INTERVAL_SECONDS)

    def record_grant(
        self, server: ServerId, order: Order, grant: AppliedGrant
    ) -> None:
        """Record an accepted grant, and check."""
        for key in self._keys:
            if not order.first <= key <= order.last:
                continue
            known = self._grants.get((server, key))
            if known is None or known.expires_at <= grant.expires_at:
                self._grants[server, key] = grant
            if grant.expires_at > grant.applied_at:
                self._checker.record_taken(key, grant.fence, grant.server)
        self.check()

    def record_run(self, request: str, key: int, server: str) -> None:
        """Record that a server begins a request, and check."""
        self.check()
        overlap = self._overlaps_by_key.get(key)
        if overlap is not None:
            overlap.requests_by_server[server].append(request)

    def check(self) -> None:
        """Report the keys that became owned twice, and those that ended."""
        now = trio.current_time()
        doubles = {}
        if _have_overlap(self._holders_by_id.values(), now):
            doubles = find_double_keys(self._holders_by_id, self._keys, now)
        for key, owners in doubles.items():
            if key not in self._overlaps_by_key:
                self._overlaps_by_key[key] = _Overlap(now, owners)
                self._report_start(key, owners)
        for ended_key in self._overlaps_by_key.keys() - doubles.keys():
            self._report_end(ended_key, now)

    def finish(self) -> None:
        """Report the keys that are owned twice at the end of the run."""
        for key in tuple(self._overlaps_by_key):
            self._report_end(key, trio.current_time())

    def _report_start(self, key: int, owners: tuple[ServerId, ...]) -> None:
        grants = [str(self._grants.get((server, key))) for server in owners]
        detail = f'key {key}: {"; ".join(grants)}'
        self._checker.record_violation('two owners', detail)

    def _report_end(self, key: int, now: float) -> None:
        overlap = self._overlaps_by_key.pop(key)
        seconds = now - overlap.since
        detail = f'key {key} for {seconds:.3f} s: {overlap}'
        self._checker.record_violation('two owners until now', detail)


def _have_overlap(holders: Iterable[KeyHolder], now: float) -> bool:
    """Return whether ranges of two servers overlap, a quick first check."""
    held = [holder.bounds_held(now) for holder in holders]
    pairs = chain.from_iterable(
        product(ranges, others) for ranges, others in combinations(held, 2)
    )
    return any(
        first <= other_last and other_first <= last
        for (first, last), (other_first, other_last) in pairs
    )
