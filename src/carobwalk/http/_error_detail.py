"""Text of errors for logs and answers."""

from typing import Final

_MAX_CHARACTERS: Final = 160


def error_detail(error: Exception) -> str:
    """Return the class and text of an error, shortened to 160 characters.

    Errors of the protocol quote what was received, which may be long.

    Args:
        error: Error that ended an exchange.
    """
    return f'{type(error).__name__}: {error}'[:_MAX_CHARACTERS]
