"""Notices when a caller goes away."""

import trio

from carobwalk.http import H11Stream


async def watch_caller(connection: H11Stream, work: trio.CancelScope) -> None:
    """Cancel the work when the connection ends.

    Args:
        connection: Connection whose request was read whole.
        work: Scope of the request's work.
    """
    try:
        while chunk := await connection.stream.receive_some():
            connection.protocol.receive_data(bytes(chunk))
    except trio.BrokenResourceError:
        pass  # A reset is the end of the connection, too.
    work.cancel()
