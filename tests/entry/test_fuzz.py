"""Fuzz test of callers' connections with mutated requests."""

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
from carobwalk.entry._entry_context import EntryContext
from carobwalk.entry._request_observer import RequestEnded
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
TIMEOUT_SECONDS = 600
ENDPOINT = Endpoint(
    'p',
    Address('127.0.0.1', 1),
    RegionName('north'),
    DataCentreName('north-a'),
)
PLACEMENT = Placement(ENDPOINT, ENDPOINT, shard=None, token=None)
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
    """Shard map in which keys that start with 4 have no owner."""

    def locate(
        self,
        service: ServiceName,
        key: Key,
    ) -> Result[Placement, NoPlacement]:
        """Return the only placement, or a failure if the key starts with 4."""
        if key.startswith('4'):
            return Err(NoPlacement(service, 'the key has no owner'))
        return Ok(PLACEMENT)

    def candidates(
        self,
        service: ServiceName,
    ) -> Result[tuple[Placement, ...], NoPlacement]:
        """Return the only placement."""
        return Ok((PLACEMENT,))


class EchoForwarder:
    """Responds to each request with its target and body."""

    async def forward(
        self,
        call: Call,
        placement: Placement,
        sink: ReplySink,
    ) -> Result[Completion, Failure]:
        """Read the whole body and send the response."""
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


class RecordingObserver:
    """Collects the finished requests."""

    def __init__(self) -> None:
        self.requests: list[RequestEnded] = []

    def observe(self, ended: RequestEnded) -> None:
        """Append the request."""
        self.requests.append(ended)


def read_catalogue() -> Catalogue:
    """Return the configuration in force."""
    return CATALOGUE


def make_context() -> EntryContext:
    """Return the dependencies shared by the connections."""
    return EntryContext(
        classifier=Classifier(ProcessId('p'), read_catalogue),
        router=Router(
            FakePlacements(),
            EchoForwarder(),
            ServerChooser(TrioClock()),
        ),
        observer=RecordingObserver(),
        limits=EntryLimits(),
        is_stopping=bool,
    )


async def exchange(
    context: EntryContext,
    content: bytes,
    rng: random.Random,
) -> bytes:
    """Send bytes in parts; return all bytes received until the close."""
    client_stream, server_stream = memory_stream_pair()
    received = b''
    with trio.fail_after(TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            connection = CallerConnection(server_stream, '127.0.0.1', context)
            nursery.start_soon(connection.run)
            nursery.start_soon(send_parts, client_stream, content, rng)
            while chunk := await client_stream.receive_some():
                received += chunk
    return received


async def send_parts(
    stream: trio.abc.Stream,
    content: bytes,
    rng: random.Random,
) -> None:
    """Send bytes in up to three parts with pauses between them."""
    cuts = sorted(rng.randrange(len(content) + 1) for _ in range(2))
    try:
        for start, end in zip((0, *cuts), (*cuts, len(content)), strict=True):
            await stream.send_all(content[start:end])
            await trio.sleep(rng.random())
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


def parse_responses(received: bytes) -> list[str]:
    """Check each response; return its failure kind or ``complete``."""
    kinds: list[str] = []
    protocol = h11.Connection(h11.CLIENT)
    protocol.receive_data(received)
    protocol.receive_data(b'')
    while protocol.trailing_data[0]:
        request = h11.Request(method='GET', target='/', headers=[('host', 'a')])
        protocol.send(request)
        protocol.send(h11.EndOfMessage())
        kinds.append(parse_response(protocol))
        if protocol.their_state is not h11.DONE:
            assert not protocol.trailing_data[0]
            return kinds
        protocol.start_next_cycle()
    return kinds


def parse_response(protocol: h11.Connection) -> str:
    """Check that the next response is complete; return its kind."""
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
    return check_response(head, body)


def check_response(head: h11.Response, body: bytes) -> str:
    """Check the outcome of a response; return its kind."""
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
        """Any input gets well-formed responses and a close, without a hang."""
        rng = random.Random(SEED)
        kinds: Counter[str] = Counter()

        async def body() -> None:
            context = make_context()
            for _ in range(INPUTS):
                content = make_input(rng)
                received = await exchange(context, content, rng)
                if b'HEAD' not in content:
                    kinds.update(parse_responses(received))

        trio.run(body, clock=virtual_clock)
        assert kinds.keys() >= {
            'complete',
            FailureKind.BAD_REQUEST,
            FailureKind.UNKNOWN_SERVICE,
            FailureKind.MISSING_KEY,
            FailureKind.NO_OWNER,
        }
