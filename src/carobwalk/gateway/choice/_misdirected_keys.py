"""Keys that their recorded owners refuse as not theirs."""

from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.directory import ServerIncarnation
from carobwalk.model import ServiceName

# How long an owner that refused a key is not asked again under the same grant.
# Its grant may have lapsed, and be renewed without a change of the key map.
_REFUSAL_SECONDS: Final = 0.25
_MAX_REFUSALS: Final = 10_000


@dataclass(frozen=True, slots=True)
class Ownership:
    """Ownership of a key as the key map records it.

    Args:
        owner: Incarnation of the owner.
        fence: Fencing token of its grant.
    """

    owner: ServerIncarnation
    fence: int


@dataclass(frozen=True, slots=True)
class _Refusal:
    ownership: Ownership
    until: float


class MisdirectedKeys:
    """Refusals of keys by owners whose key map entry has not changed since."""

    def __init__(self) -> None:
        self._refusals_by_key: dict[tuple[ServiceName, int], _Refusal] = {}

    def record(
        self, service: ServiceName, key: int, ownership: Ownership
    ) -> None:
        """Record that an owner refused a request as misdirected."""
        if len(self._refusals_by_key) >= _MAX_REFUSALS:
            self._remove_expired()
        if len(self._refusals_by_key) < _MAX_REFUSALS:
            until = trio.current_time() + _REFUSAL_SECONDS
            refusal = _Refusal(ownership, until)
            self._refusals_by_key[service, key] = refusal

    def is_refused(
        self, service: ServiceName, key: int, ownership: Ownership
    ) -> bool:
        """Return whether an owner is known to refuse a key."""
        refusal = self._refusals_by_key.get((service, key))
        if refusal is None:
            return False
        is_recent = trio.current_time() < refusal.until
        return is_recent and refusal.ownership == ownership

    def _remove_expired(self) -> None:
        now = trio.current_time()
        self._refusals_by_key = {
            key: refusal
            for key, refusal in self._refusals_by_key.items()
            if refusal.until > now
        }
