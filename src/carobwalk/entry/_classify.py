"""Classification of a request by its head."""

import itertools
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final
from urllib.parse import unquote

import h11
from result import Err, Ok, Result

from carobwalk.entry import _headers
from carobwalk.entry._refusals import bad_request, missing_key, unknown_service
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

_BOOT_BYTES: Final = 4
_MILLISECONDS: Final = 1000
_RANKS: Final = tuple(Rank)

Fields = Mapping[bytes, bytes]


@dataclass(frozen=True, slots=True)
class _Reading:
    """Parts of a head that several rules look at."""

    service: ServiceName
    profile: Profile
    target: str
    fields: Fields


class Classifier:
    """Gives each request its service, key, rank and time limit.

    Args:
        process: Identity of this process, part of request ids.
        catalogue: Returns the configuration in force.
    """

    def __init__(
        self,
        process: ProcessId,
        catalogue: Callable[[], Catalogue],
    ) -> None:
        self._catalogue = catalogue
        self._counter = itertools.count(1)
        # A restarted process must not give an id twice.
        self._prefix = f'{process}-{secrets.token_hex(_BOOT_BYTES)}'

    def classify(
        self,
        event: h11.Request,
        caller_host: str,
    ) -> Result[RequestHead, Failure]:
        """Return the classified head of a request.

        Args:
            event: Head as h11 parsed it.
            caller_host: IP number of the caller's connection.
        """
        target = event.target.decode('latin-1')
        if not target.startswith('/'):
            return Err(bad_request('the target must start with "/"'))
        name, _, rest = target[1:].partition('/')
        service = ServiceName(name.partition('?')[0])
        profile = self._catalogue().profile_of(service)
        if profile is None:
            return Err(unknown_service(service))
        reading = _Reading(
            service=service,
            profile=profile,
            target=f'/{rest}',
            fields=dict(event.headers),
        )
        return self._classify_known(event, reading, caller_host)

    def _classify_known(
        self,
        event: h11.Request,
        reading: _Reading,
        caller_host: str,
    ) -> Result[RequestHead, Failure]:
        fields = reading.fields
        method = event.method.decode('ascii')
        rule = _find_rule(reading.profile, method, reading.target)
        rank = _lower_rank(rule.rank, fields)
        key = _find_key(reading.profile, reading.target)
        if isinstance(key, Err):
            return key
        seconds = _limit_time(reading.profile, rank, fields)
        if isinstance(seconds, Err):
            return seconds
        return Ok(
            RequestHead(
                request_id=RequestId(f'{self._prefix}-{next(self._counter)}'),
                service=reading.service,
                rank=rank,
                method=method,
                target=reading.target,
                headers=_headers.pass_request_headers(event.headers),
                key=key.ok_value,
                deadline=seconds.ok_value,
                idempotent=rule.idempotent,
                idempotency_key=_text(fields, _headers.IDEMPOTENCY_KEY),
                caller=_text(fields, _headers.CALLER) or caller_host,
                body_length=_body_length(fields),
            ),
        )


def _find_key(profile: Profile, target: str) -> Result[Key | None, Failure]:
    if not profile.keyed:
        return Ok(None)
    segments = target.partition('?')[0].split('/')[1:]
    index = profile.key_segment
    if index >= len(segments) or not segments[index]:
        return Err(missing_key(index))
    return Ok(Key(unquote(segments[index])))


def _find_rule(profile: Profile, method: str, target: str) -> RankRule:
    for rule in profile.rank_rules:
        is_method = not rule.methods or method in rule.methods
        if is_method and target.startswith(rule.path_prefix):
            return rule
    # Work that no rule knows must neither go first nor be run twice.
    return RankRule(rank=Rank.BULK)


def _lower_rank(allowed: Rank, fields: Fields) -> Rank:
    """Return the rank that the caller asks for if it is less urgent."""
    asked = _text(fields, _headers.RANK)
    if asked not in _RANKS:
        return allowed
    return max(allowed, Rank(asked), key=_RANKS.index)


def _limit_time(
    profile: Profile,
    rank: Rank,
    fields: Fields,
) -> Result[float, Failure]:
    longest = profile.time_limits[rank]
    asked = _text(fields, _headers.DEADLINE_MS)
    if asked is None:
        return Ok(longest)
    if not asked.isdecimal():
        return Err(bad_request('carobwalk-deadline-ms must be a whole number'))
    return Ok(min(longest, int(asked) / _MILLISECONDS))


def _body_length(fields: Fields) -> int | None:
    if _headers.TRANSFER_ENCODING in fields:
        return None
    return int(fields.get(_headers.CONTENT_LENGTH, b'0'))


def _text(fields: Fields, name: bytes) -> str | None:
    content = fields.get(name)
    return None if content is None else content.decode('latin-1')
