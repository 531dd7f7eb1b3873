"""Identity of one incarnation of a backend server."""

from carobwalk.model import ServerId

# Id of the server and time of its start in milliseconds since 1970, which
# tells apart restarts that keep the id.
Incarnation = tuple[ServerId, int]
