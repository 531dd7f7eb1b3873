"""Tests of explanations, without a network."""

import random
from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.events import NullEventLog
from carobwalk.gateway import (
    CandidateServers,
    CrashTracker,
    LoadTable,
    Locality,
    NoTarget,
    RegionRules,
    SampledChoice,
    ServerCost,
    ServerEstimate,
    UnkeyedChooser,
    encode_digest,
)
from carobwalk.gateway._server_notice import ServerNotice
from carobwalk.gateway.choice._misdirected_keys import MisdirectedKeys
from carobwalk.gateway.explain import (
    DestinationFacts,
    Explainer,
    ExplainParts,
    Explanation,
    Outcome,
    Question,
    Rule,
    ServerFacts,
)
from carobwalk.gateway.explain._server_view import ServerViewParts
from carobwalk.model import Address, ServerId, ServiceName, TrioClock
from carobwalk.platform import decode_configuration
from carobwalk.routing import ActiveRoutes
from carobwalk.shares import ProcessShare
from tests.gateway.harness import (
    CONFIGURATION,
    LOCAL_DATA_CENTRE,
    REGIONS_BY_DATA_CENTRE,
    REMOTE_DATA_CENTRE,
    SingleOwnerMap,
)
from tests.gateway.test_choosers import make_request

READ = Question(host='a.example', path='/reads/a')
KEYED = Question(host='a.example', path='/keyed/a', key=7)


class Known:
    """State of a process that explanations are made from."""

    def __init__(self, configuration: bytes = CONFIGURATION) -> None:
        self.directory = ServerDirectory(TrioClock(), NullEventLog())
        self.routes = ActiveRoutes(NullEventLog())
        self.routes.offer(decode_configuration(configuration).ok_value, 1)
        self.share = ProcessShare()
        self.loads = LoadTable(self.directory, self.share, lambda _: True)
        self.owners = SingleOwnerMap()
        self.misdirected = MisdirectedKeys()
        regions = RegionRules(REGIONS_BY_DATA_CENTRE, self.routes)
        locality = Locality(LOCAL_DATA_CENTRE, REGIONS_BY_DATA_CENTRE)
        cost = ServerCost(self.loads, locality)
        self.explainer_parts = ExplainParts(
            routes=self.routes,
            records_age=lambda: 0.5,
            owners=self.owners,
            misdirected=self.misdirected,
            crash_tracker=CrashTracker(),
            servers=ServerViewParts(
                directory=self.directory,
                candidates=CandidateServers(
                    self.directory, self.loads.warmups.is_cold, regions
                ),
                regions=regions,
                loads=self.loads,
                cost=cost,
                sampled=SampledChoice(
                    self.loads.shared, cost, locality, _has_connection
                ),
                has_connection=_has_connection,
            ),
        )
        self.explainer = Explainer(self.explainer_parts)

    def add(
        self, name: str, service: str = 'reads', **changes
    ) -> BackendServer:
        """Register a server."""
        server = BackendServer(
            id=ServerId(name),
            born=1,
            service=ServiceName(service),
            address=Address('127.0.0.1', 1),
            data_centre=LOCAL_DATA_CENTRE,
            slots=4,
            is_leaving=False,
        )
        server = replace(server, **changes)
        self.directory.put(server, 1)
        return server

    def ask(self, question: Question = READ) -> DestinationFacts:
        """Return what is explained of the only destination."""
        return self.explainer.explain(question).destinations[0]

    def state(self) -> str:
        """Return all state that an explanation could change."""
        return repr(
            (
                _plain(self.loads.__dict__),
                _plain(self.misdirected.__dict__),
                _plain(self.routes.split.__dict__),
                self.owners.counts,
                random.getstate(),
            )
        )


def _has_connection(*_: object) -> bool:
    return False


def _plain(value: object, depth: int = 8) -> object:
    """Return an object as nested values, so that changes show in its text."""
    if not depth or isinstance(value, (ServerDirectory, trio.Event)):
        return type(value).__name__
    if hasattr(value, 'items'):
        return [
            (str(key), _plain(each, depth - 1)) for key, each in value.items()
        ]
    if isinstance(value, (str, int, float, bytes, type(None), BackendServer)):
        return value
    if hasattr(value, '__dict__'):
        return type(value).__name__, _plain(value.__dict__, depth - 1)
    return repr(value).partition(' at 0x')[0]


def _facts(destination: DestinationFacts, name: str) -> ServerFacts:
    return next(each for each in destination.servers if each.server == name)


@pytest.fixture
def run():
    """Return a function that runs a scenario on a virtual clock."""

    def _run(scenario) -> None:
        async def body() -> None:
            scenario()

        trio.run(body, clock=MockClock(autojump_threshold=0))

    return _run


class TestRoute:
    def test_route_and_version(self, run) -> None:
        """Guards against explanations by another route than requests take."""

        def scenario() -> None:
            known = Known()
            explained = known.explainer.explain(READ)
            assert explained.version == 7
            assert explained.records_age == pytest.approx(0.5)
            assert explained.route is not None
            assert explained.route.name == 'reads'
            assert explained.route.allowed_regions is None
            unknown = known.explainer.explain(replace(READ, path='/none'))
            assert unknown == Explanation(
                version=7,
                records_age=0.5,
                digest_age=None,
                digest_weight=0,
                detail='no route matches',
            )

        run(scenario)


class TestServers:
    def test_send_to_cheapest(self, run) -> None:
        """Guards against a cost that ignores latency and distance."""

        def scenario() -> None:
            known = Known()
            slow, _ = known.add('slow'), known.add('fast')
            known.add('far', data_centre=REMOTE_DATA_CENTRE)
            known.loads.record_answer(slow, trio.current_time(), 0.4)
            destination = known.ask()
            assert destination.outcome is Outcome.SEND
            assert destination.detail.endswith('fast')
            costs = {each.server: each.cost for each in destination.servers}
            assert costs['fast'] < costs['far'] < costs['slow']

        run(scenario)

    def test_rules(self, run) -> None:
        """Guards against a server shown as a candidate that gets nothing."""

        def scenario() -> None:
            known = Known()
            now = trio.current_time()
            known.add('left', is_leaving=True)
            known.add('cold', warmup_left=9)
            known.add('away', data_centre=REMOTE_DATA_CENTRE)
            known.directory.evacuations.begin(REMOTE_DATA_CENTRE)
            full, ejected = known.add('full'), known.add('ejected')
            for _ in range(6):
                known.loads.start(full)
            known.loads.of(ejected).record_unreachable(now)
            gated = known.add('gated')
            notice = ServerNotice(wait_seconds=3, limit=None, is_leaving=False)
            known.loads.gates.apply(gated, notice)
            destination = known.ask()
            assert {
                each.server: each.excluded for each in destination.servers
            } == {
                'left': (Rule.LEAVING,),
                'cold': (Rule.NO_SHARE,),
                'away': (Rule.EVACUATED,),
                'full': (Rule.FULL,),
                'ejected': (Rule.EJECTED,),
                'gated': (Rule.GATE,),
            }
            assert _facts(destination, 'cold').cold_seconds == 9
            assert _facts(destination, 'gated').gate_seconds == (3, 3)
            assert _facts(
                destination, 'ejected'
            ).ejected_seconds == pytest.approx(0.25)
            assert destination.outcome is Outcome.WAIT

        run(scenario)

    def test_cold_chances(self, run) -> None:
        """Guards against chances of cold servers above those of the draw."""

        def scenario() -> None:
            known = Known()
            servers = [known.add(name, warmup_left=9) for name in ('c1', 'c2')]
            shares = {server.incarnation: 2.0 for server in servers}
            known.loads.warmups.replace(shares)
            destination = known.ask()
            assert [each.chance for each in destination.servers] == [0.5, 0.5]
            assert '1' in destination.detail
            assert _facts(destination, 'c1').excluded == (Rule.COLD,)

        run(scenario)

    def test_allowed_regions(self, run) -> None:
        """Guards against a refusal by region that isn't shown as one."""

        def scenario() -> None:
            rule = b'"service":"reads","allowed_regions":["r2"]'
            known = Known(CONFIGURATION.replace(b'"service":"reads"', rule))
            known.add('s1')
            destination = known.ask()
            assert destination.servers[0].excluded == (Rule.OUTSIDE,)
            assert destination.outcome is Outcome.REFUSE
            assert 'allowed regions' in destination.detail

        run(scenario)


class TestOwner:
    def test_owner(self, run) -> None:
        """Guards against another server than the owner shown as a target."""

        def scenario() -> None:
            known = Known()
            known.add('other', 'keyed')
            assert known.ask(KEYED).detail == 'the key has no owner now'
            known.owners.server = known.add('owner', 'keyed')
            known.owners.fence = 5
            destination = known.ask(KEYED)
            assert destination.owner is not None
            assert destination.owner.fence == 5
            assert destination.outcome is Outcome.SEND
            assert destination.detail == 'owner owner'
            assert _facts(destination, 'other').excluded == (Rule.NOT_OWNER,)

        run(scenario)

    def test_overloaded(self, run) -> None:
        """Guards against an admission by turns that is shown as certain."""

        def scenario() -> None:
            known = Known()
            known.owners.server = known.add('owner', 'keyed')
            incarnation = known.owners.server.incarnation
            known.loads.admission.replace({incarnation: 0.5})
            destination = known.ask(KEYED)
            assert destination.owner is not None
            assert destination.owner.admitted == pytest.approx(0.5)
            assert '0.5' in destination.detail

        run(scenario)


class TestAgreement:
    def test_choosers_agree(self) -> None:
        """Guards against explanations that differ from what choosers do."""

        async def scenario() -> None:
            known = Known()
            slow = known.add('slow')
            known.add('fast')
            known.add('left', is_leaving=True)
            known.loads.record_answer(slow, trio.current_time(), 0.4)
            servers = known.explainer_parts.servers
            chooser = UnkeyedChooser(
                servers.candidates, known.loads, servers.cost, servers.sampled
            )
            reads, request = ServiceName('reads'), make_request()
            for _ in range(12):
                explained = known.ask()
                chosen = await chooser.choose(reads, request, frozenset())
                if isinstance(chosen, NoTarget):
                    break
                assert explained.outcome is Outcome.SEND
                name = explained.detail.rpartition(' ')[-1]
                cost = _facts(explained, chosen.server.id).cost
                # The random part of the cost is 10 % of it at most.
                assert cost <= _facts(explained, name).cost * 1.1
            assert known.ask().outcome is Outcome.WAIT

        async def limited() -> None:
            with trio.move_on_after(60):
                await scenario()

        trio.run(limited, clock=MockClock(autojump_threshold=0))


class TestNoEffect:
    def test_changes_no_state(self, run) -> None:
        """Guards against an explanation that counts, draws or creates state."""

        def scenario() -> None:
            known = Known()
            known.share.renew(8)
            served = known.add('served')
            known.add('unknown')
            cold = known.add('cold', warmup_left=9)
            known.loads.warmups.replace({cold.incarnation: 0.2})
            known.owners.server = known.add('owner', 'keyed')
            known.loads.start(served)
            # Its phase is drawn by the first request that asks for it.
            notice = ServerNotice(wait_seconds=0, limit=2, is_leaving=False)
            known.loads.gates.apply(served, notice)
            row = (served.incarnation, ServerEstimate(0.1, 2))
            known.loads.shared.apply(encode_digest([row]))
            before = known.state()
            for question in (READ, KEYED, replace(READ, caller='127.0.0.1')):
                known.explainer.explain(question)
            assert known.state() == before
            assert _facts(known.ask(), 'served').gate_seconds == (0, 4)
            known.loads.gates.pause(served)
            assert known.state() != before

        run(scenario)
