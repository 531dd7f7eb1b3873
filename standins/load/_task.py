"""One request of a load."""

from dataclasses import dataclass
from types import MappingProxyType

from carobwalk.model import Address, Rank, ServiceName

_COLLECTIONS = MappingProxyType(
    {Rank.LOOKUP: 'cases', Rank.MONEY: 'claims', Rank.BULK: 'bundles'},
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadTask:
    """A request that is to be sent.

    Args:
        entry: Entry that it is sent to.
        service: Service that it calls.
        rank: Rank of the work.
        method: HTTP method.
        key: Key of the request.
        mark: Text that is unique to the request.
        idempotency_key: Name of the action; the same in its repeats.
        body_bytes: Length of the request's body.
        work_ms: Service time on the backend server.
        query: Further parameters, such as ``&size=``.
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
        """Request target at the entry, the same in all repeats."""
        path = f'/{self.service}/{_COLLECTIONS[self.rank]}/{self.key}'
        return f'{path}?work_ms={self.work_ms}{self.query}'
