"""Tokens of operators and their hashes."""

import secrets
from dataclasses import dataclass

import argon2

_SECRET_BYTES = 32
_ARGON2_TIME_COST = 4
_ARGON2_MEMORY_KIB = 9216

hasher = argon2.PasswordHasher(
    time_cost=_ARGON2_TIME_COST,
    memory_cost=_ARGON2_MEMORY_KIB,
    parallelism=1,
)


@dataclass(frozen=True, slots=True)
class Token:
    """A bearer token, serialised as ``operator.secret``.

    Args:
        operator: Name of the operator.
        secret: Random secret without a dot.
    """

    operator: str
    secret: str

    def __str__(self) -> str:
        """Return the serialised token, as sent in requests."""
        return f'{self.operator}.{self.secret}'


def parse_token(text: str) -> Token | None:
    """Parse a serialised token; returns ``None`` if it is malformed."""
    operator, _, secret = text.rpartition('.')
    if operator and secret:
        return Token(operator, secret)
    return None


def issue_token(operator: str) -> Token:
    """Return a new token with a random secret."""
    return Token(operator, secrets.token_urlsafe(_SECRET_BYTES))


def hash_secret(token: Token) -> str:
    """Return the argon2 hash of a token's secret.

    Takes milliseconds of processor time.
    """
    return hasher.hash(token.secret)
