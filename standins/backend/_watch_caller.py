"""Detection of callers that disconnect."""

import trio

from carobwalk.http import H11Stream


async def watch_caller(connection: H11Stream, work: trio.CancelScope) -> None:
    """Cancel the work when the caller closes or resets the connection.

    Args:
        connection: Connection whose request was read completely.
        work: Cancel scope of the request's work.
    """
    try:
        while chunk := await connection.stream.receive_some():
            connection.protocol.receive_data(bytes(chunk))
    except trio.BrokenResourceError:
        pass  # A reset ends the connection as well.
    work.cancel()
