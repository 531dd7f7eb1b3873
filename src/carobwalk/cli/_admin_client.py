"""Client of the administration API that maps failures to exit codes."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, NoReturn

import click
from result import Err

from carobwalk.cli._admin_connection import AdminCall, AdminConnection
from carobwalk.cli._admin_text import format_error
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
    """Makes the calls of one command and exits if one fails.

    Args:
        connection: Connection to the administration of an entry process.
        output: Format in which answers are printed.
    """

    connection: AdminConnection
    output: str

    def request(self, call: AdminCall) -> dict[str, Any]:
        """Make a call and return the decoded body of its answer.

        Raises:
            click.exceptions.Exit: If the call failed, with the exit code of the
                failure, after printing it.
        """
        result = self.connection.send(call)
        if isinstance(result, Err):
            self._fail(*_describe_transport_failure(call, result.err_value))
        response = result.ok_value
        answer = _decode(response)
        if response.status != HTTPStatus.OK:
            self._fail(_select_exit_code(response.status, answer), answer)
        return answer

    def echo(self, answer: Mapping[str, Any], *lines: str) -> None:
        """Print an answer as JSON, or the equivalent lines of text."""
        if self.output == OutputFormat.JSON:
            echo_json(answer)
            return
        for line in lines:
            click.echo(line)

    def _fail(self, code: ExitCode, error: Mapping[str, Any]) -> NoReturn:
        if self.output == OutputFormat.JSON:
            echo_json(error)
        for line in format_error(error):
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


def _select_exit_code(status: int, answer: Mapping[str, Any]) -> ExitCode:
    if answer.get('outcome') == 'conflict':
        return ExitCode.CONFLICT
    return _CODES_BY_STATUS.get(status, ExitCode.REFUSED)


def _describe_transport_failure(
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
