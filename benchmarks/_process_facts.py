"""Memory and connections of processes, read from /proc."""

import re
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

# Column numbers in /proc/<pid>/net/tcp.
_REMOTE_COLUMN = 2
_INODE_COLUMN = 9
_SOCKET = re.compile(r'socket:\[(\d+)\]')


def resident_kilobytes(pid: int) -> int:
    """Return the resident set size of a process in kibibytes."""
    status = Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmRSS:\s+(\d+)', status)
    return int(found[1]) if found else 0


def count_connections(pid: int, port: int) -> int:
    """Return the number of TCP connections of a process to a port."""
    own = set(_socket_inodes(pid))
    table = Path(f'/proc/{pid}/net/tcp').read_text()
    rows = [row.split() for row in table.splitlines()]
    return sum(
        row[_REMOTE_COLUMN].endswith(f':{port:04X}')
        and row[_INODE_COLUMN] in own
        for row in rows
    )


def _socket_inodes(pid: int) -> Iterator[str]:
    for link in Path(f'/proc/{pid}/fd').iterdir():
        with suppress(FileNotFoundError):
            match = _SOCKET.match(str(link.readlink()))
            if match:
                yield match[1]
