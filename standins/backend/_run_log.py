"""Log of the requests that a backend server ran."""

from pathlib import Path

import msgspec

from standins.backend._run_record import RunRecord


class RunLog:
    """Records in memory, and as JSON lines in a file if one is named.

    Each change of a record appends a line; the last line of a server's
    incarnation and number holds.

    Args:
        path: Name of the file; empty for none.
    """

    def __init__(self, path: str = '') -> None:
        self.records_by_number: dict[int, RunRecord] = {}
        self._path = Path(path) if path else None

    def put(self, record: RunRecord) -> None:
        """Add a record or replace the one of the same number."""
        self.records_by_number[record.number] = record
        if self._path is None:
            return
        with self._path.open('ab') as lines:
            lines.write(msgspec.json.Encoder().encode_lines((record,)))

    def to_json_lines(self) -> bytes:
        """Return the records as they stand."""
        encoder = msgspec.json.Encoder()
        return encoder.encode_lines(tuple(self.records_by_number.values()))


def read_run_log(path: Path) -> tuple[RunRecord, ...]:
    """Return the last state of each record in a file.

    Args:
        path: File of JSON lines; a last line cut off by a kill is left out.
    """
    records: dict[tuple[str, int], RunRecord] = {}
    for line in path.read_bytes().split(b'\n')[:-1]:
        record = msgspec.json.decode(line, type=RunRecord)
        records[record.incarnation, record.number] = record
    return tuple(records.values())
