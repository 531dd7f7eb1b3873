"""Identity of one life of a backend server."""

from carobwalk.model import ServerId

# Its id, and its start in milliseconds since 1970.
Life = tuple[ServerId, int]
