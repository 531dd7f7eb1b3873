"""Tokens of operators."""

import secrets
from dataclasses import dataclass

import argon2

_SECRET_BYTES = 32
_TIME_COST = 4
_MEMORY_KIB = 9216

hasher = argon2.PasswordHasher(
    time_cost=_TIME_COST,
    memory_cost=_MEMORY_KIB,
    parallelism=1,
)


@dataclass(frozen=True, slots=True)
class Token:
    """An operator's name and a secret, written ``name.secret``."""

    operator: str
    secret: str

    def __str__(self) -> str:
        """Return the form that is sent in requests."""
        return f'{self.operator}.{self.secret}'


def parse_token(text: str) -> Token | None:
    """Return the token that a text holds, if it holds one."""
    operator, _, secret = text.rpartition('.')
    if operator and secret:
        return Token(operator, secret)
    return None


def issue_token(operator: str) -> Token:
    """Return a token with a fresh random secret."""
    return Token(operator, secrets.token_urlsafe(_SECRET_BYTES))


def hash_secret(token: Token) -> str:
    """Return the argon2 hash of a token's secret; it takes milliseconds."""
    return hasher.hash(token.secret)
