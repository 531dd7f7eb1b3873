"""Reports of the load of all services, and receipts with digests."""

from dataclasses import replace

import msgspec
import pytest
import trio
from trio.testing import MockClock

from carobwalk.gateway import ServerEstimate, encode_digest
from carobwalk.keyspace import LoadCollector
from carobwalk.keyspace._load_report import LoadReceipt, LoadReport
from carobwalk.model import ProcessId, TrioClock
from tests.keyspace.scripted_load import Scene

SEED = 1


class TestReportedWork:
    @pytest.mark.parametrize('is_shared', [True, False])
    def test_service_without_keys(
        self, virtual_clock: MockClock, is_shared: bool
    ) -> None:
        """Requests in flight are reported before any is answered.

        Guards against servers that seem idle because their requests take long.
        Switched off, nothing is reported of services without keys.
        """

        async def main() -> None:
            scene = Scene(virtual_clock, SEED, processes=1, servers=2)
            process = scene.processes[0]
            process.reporter._local = replace(
                process.local, is_shared=is_shared
            )
            server = scene.servers['s0'].registered
            process.reporter._collect_report(())
            virtual_clock.jump(0.1)
            process.local.loads.start(server)
            virtual_clock.jump(0.1)
            report = process.reporter._collect_report(())
            assert report.services == ()
            rows = [row for load in report.others for row in load.servers]
            assert len(rows) == int(is_shared)
            for row in rows:
                assert (row.server, row.answers, row.running) == ('s0', 0, 1)
                assert row.in_flight == pytest.approx(0.5)

        trio.run(main, clock=virtual_clock)

    def test_off(self, virtual_clock: MockClock) -> None:
        """A process that is switched off ignores digests, and sends none."""

        async def main() -> None:
            scene = Scene(virtual_clock, SEED, processes=1, servers=2)
            local = replace(scene.processes[0].local, is_shared=False)
            server = scene.servers['s0'].registered
            digest = encode_digest([(server.incarnation, ServerEstimate(1, 1))])
            local.apply(LoadReceipt(True, 1, digest=digest))
            assert not local.loads.shared.server_count
            replace(local, is_shared=True).apply(
                LoadReceipt(True, 1, digest=digest)
            )
            assert local.loads.shared.server_count == 1
            collector = LoadCollector(TrioClock())
            payload = msgspec.msgpack.encode(LoadReport(()))
            for _ in range(8):
                virtual_clock.jump(0.25)
                answered = await collector.answer(ProcessId('p'), payload)
                receipt = msgspec.msgpack.decode(answered, type=LoadReceipt)
                assert receipt.digest == b''

        trio.run(main, clock=virtual_clock)

    def test_every_second_receipt(self, virtual_clock: MockClock) -> None:
        """Every second receipt of each process carries a digest."""

        async def main() -> None:
            scene = Scene(virtual_clock, SEED, processes=3, servers=2)
            payload = msgspec.msgpack.encode(LoadReport(()))
            carried = []
            for _ in range(14):
                virtual_clock.jump(0.25)
                for process in scene.processes:
                    answered = await scene.collector.answer(
                        process.name, payload
                    )
                    receipt = msgspec.msgpack.decode(answered, type=LoadReceipt)
                    carried.append(bool(receipt.digest))
            late = carried[18:]
            assert sum(late[::3]) * 2 == len(late[::3])
            assert late[:3] != late[3:6]

        trio.run(main, clock=virtual_clock)

    def test_former_messages(self) -> None:
        """Messages of processes without the new fields are understood."""
        row = ['s0', 1, 2, 0, 0.5, None]
        report = msgspec.msgpack.encode([[['a', [], [row]]], [], 0, []])
        decoded = msgspec.msgpack.decode(report, type=LoadReport)
        assert decoded.others == ()
        assert decoded.services[0].servers[0].running == 0
        receipt = msgspec.msgpack.encode([True, 3, [], 3, []])
        assert msgspec.msgpack.decode(receipt, type=LoadReceipt).digest == b''
