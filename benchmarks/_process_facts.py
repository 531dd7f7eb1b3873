"""Facts of running processes, read from /proc."""

import re
from pathlib import Path

# Columns of /proc/net/tcp.
_REMOTE = 2
_INODE = 9
_SOCKET = re.compile(r'socket:\[(\d+)\]')


def resident_kilobytes(pid: int) -> int:
    """Return the resident memory of a process."""
    status = Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmRSS:\s+(\d+)', status)
    return int(found[1]) if found else 0


def is_connected(pid: int, port: int) -> bool:
    """Return whether a process has a TCP connection to a port."""
    own = {
        match[1]
        for link in Path(f'/proc/{pid}/fd').iterdir()
        if (match := _SOCKET.match(str(link.readlink())))
    }
    table = Path(f'/proc/{pid}/net/tcp').read_text()
    rows = [row.split() for row in table.splitlines()]
    return any(
        row[_REMOTE].endswith(f':{port:04X}') and row[_INODE] in own
        for row in rows
    )
