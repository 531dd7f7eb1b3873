"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes of all commands.

    ``FAILURE`` is an internal error, ``USAGE`` an invalid command line or
    settings file, and ``INPUT`` invalid input or another file that can't be
    read. ``UNKNOWN`` means that a change may or may not have taken effect, and
    ``HOST`` that ``serve`` can't use an address or a file of this host.
    """

    OK = 0
    FAILURE = 1
    USAGE = 2
    INPUT = 3
    UNREACHABLE = 4
    NOT_FOUND = 5
    CONFLICT = 6
    REFUSED = 7
    UNKNOWN = 8
    HOST = 9
