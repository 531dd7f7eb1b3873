"""Classification of requests by path and header fields."""

import itertools
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final
from urllib.parse import unquote

import h11
from result import Err, Ok, Result

from carobwalk.entry import _headers
from carobwalk.entry._failures import bad_request, missing_key, unknown_service
from carobwalk.http import parse_natural_number
from carobwalk.model import (
    Failure,
    Key,
    ProcessId,
    Rank,
    RequestHead,
    RequestId,
    ServiceName,
)
from carobwalk.profiles import Catalogue, Profile, RankRule

_INSTANCE_ID_BYTES: Final = 4
_MILLISECONDS: Final = 1000
_RANKS: Final = tuple(Rank)

Fields = Mapping[bytes, bytes]


@dataclass(frozen=True, slots=True)
class _ParsedHead:
    """Parts of a request head that several functions evaluate."""

    service: ServiceName
    profile: Profile
    target: str
    fields: Fields


class Classifier:
    """Determines the service, key, rank and time limit of requests.

    Args:
        process: Id of this process; prefix of all request ids.
        catalogue: Returns the configuration in force.
    """

    def __init__(
        self,
        process: ProcessId,
        catalogue: Callable[[], Catalogue],
    ) -> None:
        self._catalogue = catalogue
        self._counter = itertools.count(1)
        # The random part keeps request ids unique across restarts.
        self._prefix = f'{process}-{secrets.token_hex(_INSTANCE_ID_BYTES)}'

    def classify(
        self,
        event: h11.Request,
        caller_host: str,
    ) -> Result[RequestHead, Failure]:
        """Return the classified head, or why the request is rejected.

        Args:
            event: Request head as parsed by h11.
            caller_host: IP address of the caller; identifies callers that
                send no name of their own.
        """
        target = event.target.decode('latin-1')
        if not target.startswith('/'):
            return Err(bad_request('the target must start with "/"'))
        name, _, rest = target[1:].partition('/')
        service = ServiceName(name.partition('?')[0])
        profile = self._catalogue().profile_of(service)
        if profile is None:
            return Err(unknown_service(service))
        parsed = _ParsedHead(
            service=service,
            profile=profile,
            target=f'/{rest}',
            fields=dict(event.headers),
        )
        return self._classify_for_profile(event, parsed, caller_host)

    def _classify_for_profile(
        self,
        event: h11.Request,
        parsed: _ParsedHead,
        caller_host: str,
    ) -> Result[RequestHead, Failure]:
        fields = parsed.fields
        method = event.method.decode('ascii')
        rule = _match_rule(parsed.profile, method, parsed.target)
        rank = _effective_rank(rule.rank, fields)
        key = _extract_key(parsed.profile, parsed.target)
        if isinstance(key, Err):
            return key
        seconds = _time_limit(parsed.profile, rank, fields)
        if isinstance(seconds, Err):
            return seconds
        return Ok(
            RequestHead(
                request_id=RequestId(f'{self._prefix}-{next(self._counter)}'),
                service=parsed.service,
                rank=rank,
                method=method,
                target=parsed.target,
                headers=_headers.filter_request_headers(event.headers),
                key=key.ok_value,
                deadline=seconds.ok_value,
                idempotent=rule.idempotent,
                idempotency_key=_field_text(fields, _headers.IDEMPOTENCY_KEY),
                caller=_field_text(fields, _headers.CALLER) or caller_host,
                body_length=_body_length(fields),
            ),
        )


def _extract_key(profile: Profile, target: str) -> Result[Key | None, Failure]:
    if not profile.keyed:
        return Ok(None)
    segments = target.partition('?')[0].split('/')[1:]
    index = profile.key_segment
    if index >= len(segments) or not segments[index]:
        return Err(missing_key(index))
    return Ok(Key(unquote(segments[index])))


def _match_rule(profile: Profile, method: str, target: str) -> RankRule:
    for rule in profile.rank_rules:
        method_matches = not rule.methods or method in rule.methods
        if method_matches and target.startswith(rule.path_prefix):
            return rule
    # Unmatched requests get the least urgent rank and count as not idempotent,
    # so they neither overtake other work nor run twice.
    return RankRule(rank=Rank.BULK)


def _effective_rank(assigned: Rank, fields: Fields) -> Rank:
    """Return the less urgent of the assigned and the requested rank."""
    requested = _field_text(fields, _headers.RANK)
    if requested not in _RANKS:
        return assigned
    return max(assigned, Rank(requested), key=_RANKS.index)


def _time_limit(
    profile: Profile,
    rank: Rank,
    fields: Fields,
) -> Result[float, Failure]:
    longest = profile.time_limits[rank]
    requested = fields.get(_headers.DEADLINE_MS)
    if requested is None:
        return Ok(longest)
    if not requested.isdigit():
        return Err(bad_request('carobwalk-deadline-ms must be a whole number'))
    milliseconds = parse_natural_number(requested)
    if milliseconds is None:
        return Ok(longest)  # Too many digits for any time limit.
    return Ok(min(longest, milliseconds / _MILLISECONDS))


def _body_length(fields: Fields) -> int | None:
    if _headers.TRANSFER_ENCODING in fields:
        return None
    return int(fields.get(_headers.CONTENT_LENGTH, b'0'))


def _field_text(fields: Fields, name: bytes) -> str | None:
    content = fields.get(name)
    return None if content is None else content.decode('latin-1')
