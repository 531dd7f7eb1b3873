"""Log of the requests that a backend server ran."""

from pathlib import Path

import msgspec

from standins.backend._run_record import RunRecord


class RunLog:
    """Run records in memory, and optionally as JSON lines in a file.

    Each change of a record appends a line; for each incarnation and number,
    the last line is current.

    Args:
        path: Path of the file; empty for none.
    """

    def __init__(self, path: str = '') -> None:
        self.records_by_number: dict[int, RunRecord] = {}
        self._path = Path(path) if path else None

    def put(self, record: RunRecord) -> None:
        """Add a record or replace the one of the same number."""
        self.records_by_number[record.number] = record
        if self._path is None:
            return
        with self._path.open('ab') as log_file:
            log_file.write(msgspec.json.Encoder().encode_lines((record,)))

    def to_json_lines(self) -> bytes:
        """Return the current records as JSON lines."""
        encoder = msgspec.json.Encoder()
        return encoder.encode_lines(tuple(self.records_by_number.values()))


def read_run_log(path: Path) -> tuple[RunRecord, ...]:
    """Return the last state of each record in a file.

    Args:
        path: File of JSON lines; a last line truncated by a kill is skipped.
    """
    records: dict[tuple[str, int], RunRecord] = {}
    for line in path.read_bytes().split(b'\n')[:-1]:
        record = msgspec.json.decode(line, type=RunRecord)
        records[record.incarnation, record.number] = record
    return tuple(records.values())
