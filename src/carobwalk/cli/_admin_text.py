"""Answers of the administration as lines of text."""

import json
from collections.abc import Iterable, Iterator, Mapping
from datetime import UTC, datetime
from typing import Any, TypeAlias

Json: TypeAlias = Mapping[str, Any]


def error_lines(error: Json) -> Iterator[str]:
    """Yield what happened, to whom a write lost, and the way out."""
    yield '{outcome}: {kind}: {detail}'.format_map(error)
    for problem in error.get('problems', ()):
        subject = subject_text(problem['subject'])
        yield (
            f'  {subject} {problem["field"]}: {problem["kind"]}:'
            f' {problem["detail"]}; accepted: {problem["way_out"]}'
        )
    for change in error.get('changes', ()):
        yield from change_lines(change, indent='  ')
    for users in ('services', 'children'):
        if error.get(users):
            names = ', '.join(error[users])
            yield f'  {users}: {names}'
    yield f'way out: {error["way_out"]}'


def subject_text(subject: Json) -> str:
    """Return a subject as kind/name."""
    return f'{subject["kind"]}/{subject["name"]}'


def change_lines(change: Json, indent: str = '') -> Iterator[str]:
    """Yield an entry of the history and its difference."""
    at = datetime.fromtimestamp(change['at'], UTC).isoformat(
        timespec='seconds',
    )
    subject = subject_text(change['subject'])
    yield (
        f'{indent}revision {change["revision"]} {at} {change["author"]}'
        f' {change["action"]} {subject}: {change["reason"]}'
    )
    if change['reverted']:
        revisions = ', '.join(map(str, change['reverted']))
        yield f'{indent}  reverts {revisions}'
    yield from field_lines(change['fields'], f'{indent}  ')


def field_lines(fields: Iterable[Json], indent: str = '') -> Iterator[str]:
    """Yield the differences of fields."""
    for entry in fields:
        before = value_text(entry['before'])
        after = value_text(entry['after'])
        yield f'{indent}{entry["field"]}: {before} -> {after}'


def value_text(value: Any) -> str:
    """Return a field's value; a dash for a field that is not set."""
    return '-' if value is None else json.dumps(value, sort_keys=True)


def write_lines(answer: Json) -> Iterator[str]:
    """Yield the result of a write, or of a dry run."""
    if answer['outcome'] == 'dry-run':
        yield f'dry run: would be revision {answer["revision"]}'
    elif answer['repeated']:
        yield f'accepted before, at revision {answer["revision"]}'
    else:
        yield f'accepted at revision {answer["revision"]}'
    if answer['change']:
        yield from field_lines(answer['change']['fields'], '  ')
    for effect in answer.get('effects', ()):
        yield f'  service {effect["service"]}:'
        yield from field_lines(effect['fields'], '    ')


def table_lines(rows: Iterable[tuple[object, ...]]) -> Iterator[str]:
    """Yield rows with aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    columns = zip(*cells, strict=True)
    widths = [max(map(len, column)) for column in columns]
    for row in cells:
        padded = map(str.ljust, row, widths)
        yield '  '.join(padded).rstrip()
