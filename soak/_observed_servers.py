"""Backend servers that report their runs and orders to the checks."""

import contextvars
import zlib
from types import MappingProxyType
from typing import Final, Protocol

import trio

from carobwalk.http import H11Stream
from carobwalk.model import ServerId
from soak._event_file import EventFile
from soak._invariant_checker import InvariantChecker
from soak._notice_check import NoticeCheck
from soak._ownership_monitor import AppliedGrant, OwnershipMonitor
from soak._store_gate import AddressBook
from standins.platform import (
    SLOW_CLOCK_RATE,
    KeyedBackend,
    KeyHolder,
    Order,
    PlatformBackend,
    ReceivedRequest,
)

SAMPLE_KEYS: Final = tuple(range(100, 65_536, 4_096))
_HOT_KEYS_PER_RANGE: Final = 6
_HOT_KEY_DISTANCE: Final = 64
HOT_KEYS_BY_SAMPLE_KEY: Final = MappingProxyType(
    {
        key: tuple(
            key + _HOT_KEY_DISTANCE * number
            for number in range(_HOT_KEYS_PER_RANGE)
        )
        for key in SAMPLE_KEYS
    }
)
CHECKED_KEYS: Final = tuple(
    hot_key for keys in HOT_KEYS_BY_SAMPLE_KEY.values() for hot_key in keys
)
_WORK_SECONDS: Final = 0.02
# Some requests are long enough to be in flight when a process ends.
_REQUESTS_PER_SLOW_REQUEST: Final = 8
_SLOW_SECONDS: Final = 1.0
_REFUSED: Final = 503

_router: contextvars.ContextVar[str] = contextvars.ContextVar(
    'router', default='unknown'
)
# Whether the message of this connection is a request, not an order.
_is_request: contextvars.ContextVar[bool] = contextvars.ContextVar(
    'is_request', default=False
)


class Observer(Protocol):
    """Receives the runs and grants of servers."""

    checker: InvariantChecker
    monitor: OwnershipMonitor
    event_file: EventFile
    address_book: AddressBook
    notice_check: NoticeCheck
    holders_by_id: dict[ServerId, KeyHolder]


class ObservedServer(PlatformBackend):
    """Backend server that reports its runs and notices to the observer."""

    observer: Observer

    async def _send(
        self,
        http: H11Stream,
        status: int,
        request_id: bytes,
        headers: list[tuple[bytes, bytes]],
        is_repeated: bool = False,
    ) -> None:
        wait_seconds = self.notices.retry_after if status == _REFUSED else None
        if _is_request.get():
            self.observer.notice_check.record_answer(
                self,
                _router.get(),
                self.notices.limit,
                wait_seconds or 0,
                is_leaving=self.notices.is_leaving,
            )
        await super()._send(http, status, request_id, headers, is_repeated)

    def _refusal_status(
        self, headers: dict[bytes, bytes], target: bytes
    ) -> int | None:
        is_request = target not in self._handlers_by_target
        _is_request.set(is_request)
        if is_request:
            self.observer.notice_check.record_arrival(self, _router.get())
        return super()._refusal_status(headers, target)

    async def _work(self, http: object, request_id: bytes) -> bool:
        self.observer.checker.record_run(request_id.decode(), self.name)
        is_slow = zlib.crc32(request_id) % _REQUESTS_PER_SLOW_REQUEST == 0
        self.seconds = _SLOW_SECONDS if is_slow else _WORK_SECONDS
        return await super()._work(http, request_id)  # type: ignore[arg-type]


class ObservedKeyedServer(ObservedServer, KeyedBackend):
    """Keyed backend server that reports its orders to the observer."""

    @property
    def incarnation(self) -> str:
        """Name and start of the incarnation, for reports."""
        return f'{self.name}@{self.holder.born}'

    async def _run(self, http: H11Stream, request: ReceivedRequest) -> bool:
        key = int(dict(request.headers)[b'shard-key'])
        self.observer.monitor.record_run(
            request.id.decode(), key, self.incarnation
        )
        return await super()._run(http, request)

    def _apply_grant(self, order: Order, expires_at: float) -> bool:
        is_accepted = super()._apply_grant(order, expires_at)
        now = trio.current_time()
        self._write('grant', order, left=expires_at - now, taken=is_accepted)
        if is_accepted:
            self._report(order, now, expires_at)
        return is_accepted

    def _report(self, order: Order, now: float, expires_at: float) -> None:
        """Report an accepted grant."""
        grant = AppliedGrant(
            server=self.incarnation,
            router=_router.get(),
            fence=order.fence,
            arrived_at=expires_at - order.hold_s / SLOW_CLOCK_RATE,
            applied_at=now,
            expires_at=expires_at,
        )
        for key, fence in self.holder.fences_by_key.items():
            self.observer.checker.record_fence(key, fence, self.incarnation)
        self.observer.monitor.record_grant(ServerId(self.name), order, grant)

    def _apply_release(self, order: Order) -> None:
        super()._apply_release(order)
        self._write('release', order)
        self.observer.monitor.check()

    def _write(self, event: str, order: Order, **fields: object) -> None:
        self.observer.event_file.write(
            event,
            time=round(trio.current_time(), 3),
            server=self.incarnation,
            router=_router.get(),
            first=order.first,
            last=order.last,
            fence=order.fence,
            hold=order.hold_s,
            **fields,
        )


async def serve_for(
    backend: PlatformBackend, router: str, stream: trio.SocketStream
) -> None:
    """Serve a connection of a router, which the reports name."""
    _router.set(router)
    await backend.serve(stream)
