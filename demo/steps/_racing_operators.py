"""Concurrent edits of one profile by two operators."""

from dataclasses import dataclass
from http import HTTPStatus

import msgspec
import trio

from carobwalk.admin import Token
from carobwalk.http import HttpClient, HttpRequest, HttpResponse
from carobwalk.model import Address
from demo._context import DemoContext
from demo._deployments import TOKENS
from demo._errors import MissingError, StepFailedError
from demo._registry import step

_PATH = '/v1/profiles/claims'
_TIMEOUT_SECONDS = 10
_SLOTS = (3, 2)
_EXPECTED_STATUSES = (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED)


@dataclass(frozen=True, slots=True)
class _Operator:
    """An operator who uses the administration address of one entry."""

    http: HttpClient
    address: Address
    token: Token

    async def call(
        self,
        method: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> HttpResponse:
        """Send a request for the profile."""
        sent = await self.http.send(
            self.address,
            HttpRequest(
                method,
                _PATH,
                headers={'authorization': f'Bearer {self.token}', **headers},
                body=body,
            ),
            _TIMEOUT_SECONDS,
        )
        return sent.unwrap()


@step('two operators race on one change; one wins, the other is told')
async def race_operators(context: DemoContext) -> str:
    """Edit one profile at two entries at once, from the same revision.

    Raises:
        MissingError: If the entries do not administer profiles.
        StepFailedError: If not exactly one edit is accepted and the other
            refused.
    """
    http = HttpClient()
    entries = context.running_entries(context.caroni)[: len(TOKENS)]
    operators = [
        _Operator(http, entry.administration, token)
        for entry, token in zip(entries, TOKENS, strict=True)
    ]
    read = await operators[0].call('GET', {})
    if read.status == HTTPStatus.NOT_FOUND:
        raise MissingError('no administration of profiles at the entries')
    if read.status != HTTPStatus.OK:
        raise StepFailedError(f'reading the profile gave {read.status}')
    answers: list[HttpResponse] = []
    async with trio.open_nursery() as nursery:
        for operator, slots in zip(operators, _SLOTS, strict=True):
            nursery.start_soon(_edit_profile, operator, read, slots, answers)
    answers.sort(key=lambda answer: answer.status)
    if tuple(answer.status for answer in answers) != _EXPECTED_STATUSES:
        raise StepFailedError(f'answers {[item.body for item in answers]}')
    refusal = msgspec.json.decode(answers[1].body)
    return (
        f'one accepted, the other told {refusal["kind"]}: {refusal["detail"]}'
    )


async def _edit_profile(
    operator: _Operator,
    read: HttpResponse,
    slots: int,
    answers: list[HttpResponse],
) -> None:
    current = msgspec.json.decode(read.body)['fields']
    body = {'fields': {**current, 'slots': slots}, 'reason': f'{slots} slots'}
    headers = {'if-match': read.headers['etag']}
    answers.append(
        await operator.call('PUT', headers, msgspec.json.encode(body)),
    )
