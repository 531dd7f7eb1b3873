"""Random bytes on callers' connections."""

import random
from collections import Counter

import h11
import msgspec
import trio
from result import Err, Ok, Result
from trio.testing import MockClock, memory_stream_pair

from carobwalk.dispatch import ServerChooser
from carobwalk.entry import Classifier, EntryLimits, Router
from carobwalk.entry._caller_connection import CallerConnection
from carobwalk.entry._caller_service import CallerService
from carobwalk.entry._observer import RequestEnded
from carobwalk.model import (
    Address,
    BodyError,
    Call,
    Completion,
    DataCentreName,
    Endpoint,
    Failure,
    FailureKind,
    Key,
    Outcome,
    Placement,
    ProcessId,
    ProfileName,
    RegionName,
    ReplySink,
    ServerId,
    ServiceName,
    TrioClock,
)
from carobwalk.ownership import NoPlacement
from carobwalk.profiles import Catalogue, Profile, Service
from tests.entry._mutations import make_input

INPUTS = 10_000
SEED = 20
HANG_SECONDS = 600
PLACE = Endpoint(
    'p',
    Address('127.0.0.1', 1),
    RegionName('north'),
    DataCentreName('north-a'),
)
PLACEMENT = Placement(PLACE, PLACE, shard=None, token=None)
CATALOGUE = Catalogue(
    revision=1,
    profiles_by_name={
        ProfileName('keyed'): Profile(name=ProfileName('keyed')),
        ProfileName('any'): Profile(name=ProfileName('any'), keyed=False),
    },
    services_by_name={
        ServiceName('tien-do'): Service(
            ServiceName('tien-do'),
            ProfileName('keyed'),
        ),
        ServiceName('ban-ve'): Service(
            ServiceName('ban-ve'),
            ProfileName('any'),
        ),
    },
)


class FakePlacements:
    """Shard map in which some keys have no owner."""

    def locate(
        self,
        service: ServiceName,
        key: Key,
    ) -> Result[Placement, NoPlacement]:
        """Return the one placement unless the key starts with 4."""
        if key.startswith('4'):
            return Err(NoPlacement(service, 'the key has no owner'))
        return Ok(PLACEMENT)

    def candidates(
        self,
        service: ServiceName,
    ) -> Result[tuple[Placement, ...], NoPlacement]:
        """Return the one placement."""
        return Ok((PLACEMENT,))


class EchoForwarder:
    """Answers each request with its target and body."""

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Read the whole body and answer."""
        body = call.head.target.encode('latin-1')
        try:
            while chunk := await call.body.receive():
                body += chunk
        except BodyError as error:
            return Err(
                Failure(
                    FailureKind.CALLER_GONE,
                    Outcome.UNKNOWN,
                    str(error),
                ),
            )
        length = str(len(body)).encode()
        await sink.start(200, ((b'content-length', length),))
        await sink.write(body)
        return Ok(Completion(200, ServerId('s'), len(body), len(body)))


class CountingObserver:
    """Counts ended requests."""

    def __init__(self) -> None:
        self.ended: list[RequestEnded] = []

    def observe(self, ended: RequestEnded) -> None:
        """Keep what ended."""
        self.ended.append(ended)


def read_catalogue() -> Catalogue:
    """Return the configuration in force."""
    return CATALOGUE


def make_service() -> CallerService:
    """Return what the connections share."""
    return CallerService(
        classifier=Classifier(ProcessId('p'), read_catalogue),
        router=Router(
            FakePlacements(),
            EchoForwarder(),
            ServerChooser(TrioClock()),
        ),
        observer=CountingObserver(),
        limits=EntryLimits(),
        is_stopping=bool,
    )


async def converse(
    service: CallerService,
    content: bytes,
    chooser: random.Random,
) -> bytes:
    """Send bytes in parts and return all that comes until the close."""
    near, far = memory_stream_pair()
    received = b''
    with trio.fail_after(HANG_SECONDS):
        async with trio.open_nursery() as nursery:
            connection = CallerConnection(far, '127.0.0.1', service)
            nursery.start_soon(connection.run)
            nursery.start_soon(send_parts, near, content, chooser)
            while chunk := await near.receive_some():
                received += chunk
    return received


async def send_parts(
    stream: trio.abc.Stream,
    content: bytes,
    chooser: random.Random,
) -> None:
    """Send bytes in up to three parts with pauses between them."""
    cuts = sorted(chooser.randrange(len(content) + 1) for _ in range(2))
    try:
        for start, end in zip((0, *cuts), (*cuts, len(content)), strict=True):
            await stream.send_all(content[start:end])
            await trio.sleep(chooser.random())
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


def read_answers(received: bytes) -> list[str]:
    """Check each answer and return the failures' kinds, or ``complete``."""
    kinds: list[str] = []
    protocol = h11.Connection(h11.CLIENT)
    protocol.receive_data(received)
    protocol.receive_data(b'')
    while protocol.trailing_data[0]:
        asked = h11.Request(method='GET', target='/', headers=[('host', 'a')])
        protocol.send(asked)
        protocol.send(h11.EndOfMessage())
        kinds.append(read_answer(protocol))
        if protocol.their_state is not h11.DONE:
            assert not protocol.trailing_data[0]
            return kinds
        protocol.start_next_cycle()
    return kinds


def read_answer(protocol: h11.Connection) -> str:
    """Check that the next answer is whole and typed; return its kind."""
    head = protocol.next_event()
    while isinstance(head, h11.InformationalResponse):
        head = protocol.next_event()
    assert isinstance(head, h11.Response)
    body = b''
    event = protocol.next_event()
    while isinstance(event, h11.Data):
        body += event.data
        event = protocol.next_event()
    assert isinstance(event, h11.EndOfMessage)
    return check_answer(head, body)


def check_answer(head: h11.Response, body: bytes) -> str:
    """Check that an answer is typed; return its kind."""
    outcome = dict(head.headers)[b'carobwalk-outcome'].decode()
    if head.status_code == 200:
        assert outcome == Outcome.COMPLETE
        return 'complete'
    failure = msgspec.json.decode(body)
    assert failure['outcome'] == outcome
    assert outcome in {Outcome.NOT_RUN, Outcome.UNKNOWN}
    return FailureKind(failure['error'])


class TestCallerConnection:
    def test_random_bytes(self, virtual_clock: MockClock) -> None:
        """Any bytes end in typed answers and a close, without a hang."""
        chooser = random.Random(SEED)
        kinds: Counter[str] = Counter()

        async def body() -> None:
            service = make_service()
            for _ in range(INPUTS):
                content = make_input(chooser)
                received = await converse(service, content, chooser)
                if b'HEAD' not in content:
                    kinds.update(read_answers(received))

        trio.run(body, clock=virtual_clock)
        assert kinds.keys() >= {
            'complete',
            FailureKind.BAD_REQUEST,
            FailureKind.UNKNOWN_SERVICE,
            FailureKind.MISSING_KEY,
            FailureKind.NO_OWNER,
        }
