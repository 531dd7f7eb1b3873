"""Failures of a small HTTP exchange."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No byte of the request was sent."""

    detail: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The request may have arrived; no whole response came back in time."""

    detail: str


HttpFailure = ConnectFailed | NoAnswer
