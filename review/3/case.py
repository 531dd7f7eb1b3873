"""Processes go on with an old configuration while their relay is cut off."""

import asyncio
import math
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from common.backend import (  # noqa: E402
    Backend,
    KeyedBackend,
    configuration,
    route,
)
from common.case import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    CaseFailure,
    Fleet,
    Machine,
    Record,
    is_disrupted,
    run_case,
    send,
)

MACHINES = 4
ROUNDS = 8
CUT_SECONDS = 5.5
CALM_SECONDS = 6.0
REQUESTS_PER_SECOND = float(os.environ.get('RATE', '100'))
# Doubt about the moment at which a client has sent its request.
MARGIN_SECONDS = 0.05
RELAY_PREFIX = 'carobwalk/relays/'
SERVICES = ('ledger-a', 'ledger-b')


class Judge:
    """Compares the services that run requests with the configuration."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.late: list[str] = []
        self._fleet = fleet
        self._record = record
        self._acknowledged: list[float] = []
        self._cut: Machine | None = None
        # Until when a machine that was cut off is not in touch.
        self._out_until: dict[str, float] = {}

    def configure(self) -> None:
        """Move the route to the other service."""
        number = len(self._acknowledged)
        service = SERVICES[number % 2]
        rules = [route('/claims/', service, 'non_idempotent', 1)]
        services = {**dict.fromkeys(SERVICES, False), 'registry': True}
        self._fleet.store.put(
            'op/config', configuration(3 + number, rules, services)
        )
        self._acknowledged.append(self._record.now())
        self._record.write(f'operator: r{3 + number} routes to {service}')

    def cut_off(self, machine: Machine | None) -> None:
        """Cut a machine off from the store, ``None`` to heal it."""
        if self._cut is not None:
            until = self._record.now() + BOUNDS['contact_s']
            self._out_until[self._cut.name] = until
        if machine is not None:
            self._out_until[machine.name] = math.inf
        self._cut = machine
        self._fleet.store.cut = {machine.name} if machine else set()
        name = machine.name if machine else 'no machine'
        self._record.write(f'{name} is cut off from the store')

    def judge(self, sent: float, machine: Machine, service: str) -> None:
        """Check which service ran a request that was sent at some time.

        Requests to a machine that isn't in touch are left out.
        """
        limit = sent - BOUNDS['config_apply_s'] - MARGIN_SECONDS
        old = sum(at < limit for at in self._acknowledged) - 1
        allowed = {
            SERVICES[number % 2]
            for number in range(max(old, 0), len(self._acknowledged))
        }
        is_in_touch = self._out_until.get(machine.name, 0) < sent
        if is_in_touch and service not in allowed:
            age = sent - self._acknowledged[old]
            self.late.append(f'{machine.name} {age:.3f} s')
            self._record.write(
                f'LATE: {machine.name} sent a request to {service} that came '
                f'{age:.3f} s after the acknowledgement'
            )


async def call(fleet: Fleet, record: Record, judge: Judge) -> None:
    """Send a request to any machine and check who ran it."""
    machine = random.choice(fleet.machines)
    attempt = fleet.attempt_id()
    headers = {'Attempt-Id': attempt, 'Deadline-Ms': '1000'}
    sent = record.now()
    try:
        answer = await send(
            machine.host,
            machine.frontend,
            'POST',
            f'/claims/{attempt}',
            headers,
            b'claim',
        )
        service = answer.headers.get('ran-at', '')
        record.write(
            f'client: {attempt} sent to {machine.name} at {sent:.3f} '
            f'answered {answer.status} {service}'
        )
        if service:
            judge.judge(sent, machine, service)
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write(f'client: {attempt} failed, {error!r}')


async def send_requests(fleet: Fleet, record: Record, judge: Judge) -> None:
    """Send requests until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
            group.create_task(call(fleet, record, judge))


def find_relay(fleet: Fleet) -> Machine:
    """Return the machine that the relays' record names."""
    for content in fleet.store.find(RELAY_PREFIX).values():
        for machine in fleet.machines:
            if machine.name.encode() in content:
                return machine
    raise CaseFailure('no relay is recorded')


async def body(fleet: Fleet, record: Record) -> int:
    """Run the case."""
    judge = Judge(fleet, record)
    for service in SERVICES * 2:
        backend = Backend(fleet, service, 0.01)
        backend.extra['Ran-At'] = service
        await backend.start()
    for _ in range(2):
        await KeyedBackend(fleet, 'registry', 0.01).start()
    judge.configure()
    for number in range(MACHINES):
        await fleet.add_machine(f'm{number}')
    await fleet.start_all()
    requests = asyncio.create_task(send_requests(fleet, record, judge))
    await asyncio.sleep(5)
    for _ in range(ROUNDS):
        relay = find_relay(fleet)
        if is_disrupted():
            judge.cut_off(relay)
        await asyncio.sleep(0.1)
        judge.configure()
        await asyncio.sleep(CUT_SECONDS)
        judge.cut_off(None)
        await asyncio.sleep(CALM_SECONDS)
    requests.cancel()
    record.conclude(
        f'{len(judge.late)} requests handled as only an older version allows, '
        f'later than {BOUNDS["config_apply_s"]} s after the acknowledgement: '
        f'{judge.late[:3]}'
    )
    return BROKEN if judge.late else HELD


if __name__ == '__main__':
    run_case(FOLDER, body)
