"""Answers of the administration as results of commands."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, NoReturn

import click
from result import Err

from carobwalk.cli._admin_connection import AdminCall, AdminConnection
from carobwalk.cli._admin_text import error_lines
from carobwalk.cli._exit_codes import ExitCode
from carobwalk.cli._output import OutputFormat, echo_json
from carobwalk.http import HttpFailure, HttpResponse, NoAnswer

_CODES_BY_STATUS: Final[Mapping[int, ExitCode]] = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: ExitCode.INPUT,
        HTTPStatus.UNPROCESSABLE_ENTITY: ExitCode.INPUT,
        HTTPStatus.NOT_FOUND: ExitCode.NOT_FOUND,
        HTTPStatus.PRECONDITION_FAILED: ExitCode.CONFLICT,
        HTTPStatus.SERVICE_UNAVAILABLE: ExitCode.UNREACHABLE,
        HTTPStatus.TOO_MANY_REQUESTS: ExitCode.UNREACHABLE,
        HTTPStatus.GATEWAY_TIMEOUT: ExitCode.UNKNOWN,
    }
)


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Makes the calls of one command and ends it at a failure.

    Args:
        connection: Where the calls go.
        output: Format of the answer.
    """

    connection: AdminConnection
    output: str

    def fetch(self, call: AdminCall) -> dict[str, Any]:
        """Return the body of a successful answer.

        Raises:
            click.exceptions.Exit: With the code of the failure, after it was
                printed.
        """
        sent = self.connection.send(call)
        if isinstance(sent, Err):
            self._fail(*_describe_loss(call, sent.err_value))
        response = sent.ok_value
        answer = _decode(response)
        if response.status != HTTPStatus.OK:
            self._fail(_exit_code(response.status, answer), answer)
        return answer

    def echo(self, answer: Mapping[str, Any], *lines: str) -> None:
        """Print an answer as data, or lines that say the same."""
        if self.output == OutputFormat.JSON:
            echo_json(answer)
            return
        for line in lines:
            click.echo(line)

    def _fail(self, code: ExitCode, error: Mapping[str, Any]) -> NoReturn:
        if self.output == OutputFormat.JSON:
            echo_json(error)
        for line in error_lines(error):
            click.echo(line, err=True)
        raise click.exceptions.Exit(code)


def _decode(response: HttpResponse) -> dict[str, Any]:
    try:
        answer: dict[str, Any] = json.loads(response.body)
    except ValueError:
        return {
            'kind': 'unreadable-answer',
            'outcome': 'unknown',
            'detail': f'status {response.status} without a JSON body',
            'way_out': 'check that the address is an administration',
        }
    return answer


def _exit_code(status: int, answer: Mapping[str, Any]) -> ExitCode:
    if answer.get('outcome') == 'conflict':
        return ExitCode.CONFLICT
    return _CODES_BY_STATUS.get(status, ExitCode.REFUSED)


def _describe_loss(
    call: AdminCall,
    failure: HttpFailure,
) -> tuple[ExitCode, dict[str, Any]]:
    if call.is_write and isinstance(failure, NoAnswer):
        repeat = f' with --write-id {call.write_id}' if call.write_id else ''
        return ExitCode.UNKNOWN, {
            'kind': 'no-answer',
            'outcome': 'unknown',
            'detail': failure.detail,
            'way_out': f'repeat the command{repeat}',
            'write_id': call.write_id,
        }
    return ExitCode.UNREACHABLE, {
        'kind': 'unreachable',
        'outcome': 'refused',
        'detail': failure.detail,
        'way_out': 'nothing was changed; try the address of another entry',
    }
