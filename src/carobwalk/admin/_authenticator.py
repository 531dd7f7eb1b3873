"""Check of operators' tokens."""

import hashlib
from collections.abc import Callable, Mapping

import argon2
import trio
from result import Err, Ok, Result

from carobwalk.admin._failures import TooManyAttempts, Unauthenticated
from carobwalk.admin._tokens import Token, hasher, parse_token
from carobwalk.model import OperatorName
from carobwalk.profiles import (
    Configuration,
    Operator,
    Role,
    SubjectKind,
    find_operator,
)

BOOTSTRAP_OPERATOR = OperatorName('bootstrap')
_SCHEME = 'bearer '
_WAITING_LIMIT = 8
_CACHE_SIZE = 256


class Authenticator:
    """Finds the operator of a request.

    Args:
        configuration: Returns the configuration in force, which holds the
            hashes of tokens.
        bootstrap_hash: Hash of the secret of ``bootstrap``, an operator with
            all roles who exists until another one does.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        bootstrap_hash: str | None = None,
    ) -> None:
        self._configuration = configuration
        self._bootstrap_hash = bootstrap_hash
        # One check at a time: each takes a core for milliseconds.
        self._limiter = trio.CapacityLimiter(1)
        self._verified: dict[bytes, str] = {}

    async def authenticate(
        self,
        headers: Mapping[str, str],
    ) -> Result[Operator, Unauthenticated | TooManyAttempts]:
        """Return the operator whose token a request carries."""
        field = headers.get('authorization', '')
        if not field.lower().startswith(_SCHEME):
            return Err(Unauthenticated('the call carries no token'))
        token = parse_token(field[len(_SCHEME) :].strip())
        operator = self._find(token) if token else None
        if token is None or operator is None:
            return Err(Unauthenticated('the token is not valid'))
        return await self._verify(operator, token)

    def _find(self, token: Token) -> Operator | None:
        configuration = self._configuration()
        operators = configuration.of_kind(SubjectKind.OPERATOR)
        if next(operators, None) is not None:
            return find_operator(configuration, token.operator)
        if token.operator == BOOTSTRAP_OPERATOR and self._bootstrap_hash:
            return Operator(
                BOOTSTRAP_OPERATOR,
                self._bootstrap_hash,
                frozenset(Role),
            )
        return None

    async def _verify(
        self,
        operator: Operator,
        token: Token,
    ) -> Result[Operator, Unauthenticated | TooManyAttempts]:
        digest = hashlib.sha256(str(token).encode()).digest()
        if self._verified.get(digest) == operator.secret_hash:
            return Ok(operator)
        if self._limiter.statistics().tasks_waiting >= _WAITING_LIMIT:
            return Err(TooManyAttempts())
        is_valid = await trio.to_thread.run_sync(
            _matches,
            operator.secret_hash,
            token.secret,
            limiter=self._limiter,
        )
        if not is_valid:
            return Err(Unauthenticated('the token is not valid'))
        if len(self._verified) >= _CACHE_SIZE:
            self._verified.clear()
        self._verified[digest] = operator.secret_hash
        return Ok(operator)


def _matches(secret_hash: str, secret: str) -> bool:
    try:
        return hasher.verify(secret_hash, secret)
    except (argon2.exceptions.VerificationError, argon2.exceptions.InvalidHash):
        return False
