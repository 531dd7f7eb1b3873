"""Failures of ``HttpClient`` and other senders of requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No byte of the request was sent.

    Args:
        detail: Cause of the failure.
        is_refused: Whether the server's host refused the connection.
    """

    detail: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The request may have arrived, but no complete response was received.

    Args:
        detail: Cause of the failure.
    """

    detail: str


class AnswerTooLong(Exception):
    """A server's answer exceeds a limit, and the rest is not read."""


class JoinedHeads(Exception):
    """The head of an answer contains the beginning of another answer."""


HttpFailure = ConnectFailed | NoAnswer
