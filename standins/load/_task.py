"""One request of a load."""

from dataclasses import dataclass
from types import MappingProxyType

from carobwalk.model import Address, Rank, ServiceName

_PATH_SEGMENTS = MappingProxyType(
    {Rank.LOOKUP: 'cases', Rank.MONEY: 'claims', Rank.BULK: 'bundles'},
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadTask:
    """A request to send.

    Args:
        entry: Address of the entry that it is sent to.
        service: Service that it calls.
        rank: Rank of the request.
        method: HTTP method.
        key: Key of the request.
        mark: Text that is unique to the request.
        idempotency_key: Idempotency key; the same in all retries of an action.
        body_bytes: Length of the request's body, in bytes.
        work_ms: Service time on the backend server, in milliseconds.
        query: Additional query parameters, such as ``&size=``.
    """

    entry: Address
    service: ServiceName
    rank: Rank
    method: str
    key: str
    mark: str
    idempotency_key: str | None = None
    body_bytes: int = 0
    work_ms: int = 0
    query: str = ''

    @property
    def target(self) -> str:
        """Request target at the entry, the same in all retries."""
        path = f'/{self.service}/{_PATH_SEGMENTS[self.rank]}/{self.key}'
        return f'{path}?work_ms={self.work_ms}{self.query}'
