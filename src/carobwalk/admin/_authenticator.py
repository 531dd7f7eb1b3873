"""Authentication of operators by token."""

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
_BEARER_PREFIX = 'bearer '
_MAX_WAITING_CHECKS = 8
_MAX_CACHED_TOKENS = 256


class Authenticator:
    """Authenticates operators by the bearer token of a request.

    Args:
        configuration: Returns the active configuration, which holds the
            token hashes.
        bootstrap_hash: Hash of the secret of ``bootstrap``, an operator with
            all roles that is valid until the configuration has an operator;
            ``None`` disables it.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        bootstrap_hash: str | None = None,
    ) -> None:
        self._configuration = configuration
        self._bootstrap_hash = bootstrap_hash
        # Hashes are verified one at a time, as each verification occupies a
        # core for milliseconds.
        self._limiter = trio.CapacityLimiter(1)
        self._verified_hashes_by_digest: dict[bytes, str] = {}

    async def authenticate(
        self,
        headers: Mapping[str, str],
    ) -> Result[Operator, Unauthenticated | TooManyAttempts]:
        """Return the operator whose token a request carries.

        Args:
            headers: Headers of the request, with lower-case names.
        """
        authorization = headers.get('authorization', '')
        if not authorization.lower().startswith(_BEARER_PREFIX):
            return Err(Unauthenticated('the call carries no token'))
        token = parse_token(authorization[len(_BEARER_PREFIX) :].strip())
        operator = self._find_operator(token) if token else None
        if token is None or operator is None:
            return Err(Unauthenticated('the token is not valid'))
        return await self._verify(operator, token)

    def _find_operator(self, token: Token) -> Operator | None:
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
        if self._verified_hashes_by_digest.get(digest) == operator.secret_hash:
            return Ok(operator)
        if self._limiter.statistics().tasks_waiting >= _MAX_WAITING_CHECKS:
            return Err(TooManyAttempts())
        is_valid = await trio.to_thread.run_sync(
            _is_secret_valid,
            operator.secret_hash,
            token.secret,
            limiter=self._limiter,
        )
        if not is_valid:
            return Err(Unauthenticated('the token is not valid'))
        if len(self._verified_hashes_by_digest) >= _MAX_CACHED_TOKENS:
            self._verified_hashes_by_digest.clear()
        self._verified_hashes_by_digest[digest] = operator.secret_hash
        return Ok(operator)


def _is_secret_valid(secret_hash: str, secret: str) -> bool:
    try:
        return hasher.verify(secret_hash, secret)
    except (argon2.exceptions.VerificationError, argon2.exceptions.InvalidHash):
        return False
