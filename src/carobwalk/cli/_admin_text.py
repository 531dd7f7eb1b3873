"""Formatting of answers of the administration as lines of text."""

import json
from collections.abc import Iterable, Iterator, Mapping
from datetime import UTC, datetime
from typing import Any, TypeAlias

Json: TypeAlias = Mapping[str, Any]


def format_error(error: Json) -> Iterator[str]:
    """Yield the error, conflicting changes and the suggested remedy."""
    yield '{outcome}: {kind}: {detail}'.format_map(error)
    for problem in error.get('problems', ()):
        subject = format_subject(problem['subject'])
        yield (
            f'  {subject} {problem["field"]}: {problem["kind"]}:'
            f' {problem["detail"]}; accepted: {problem["way_out"]}'
        )
    for change in error.get('changes', ()):
        yield from format_change(change, indent='  ')
    for relation in ('services', 'children'):
        if error.get(relation):
            names = ', '.join(error[relation])
            yield f'  {relation}: {names}'
    yield f'way out: {error["way_out"]}'


def format_subject(subject: Json) -> str:
    """Return a subject as ``kind/name``."""
    return f'{subject["kind"]}/{subject["name"]}'


def format_change(change: Json, indent: str = '') -> Iterator[str]:
    """Yield the lines of a change: its summary, then its fields."""
    at = datetime.fromtimestamp(change['at'], UTC).isoformat(
        timespec='seconds',
    )
    subject = format_subject(change['subject'])
    yield (
        f'{indent}revision {change["revision"]} {at} {change["author"]}'
        f' {change["action"]} {subject}: {change["reason"]}'
    )
    if change['reverted']:
        revisions = ', '.join(map(str, change['reverted']))
        yield f'{indent}  reverts {revisions}'
    yield from format_field_changes(change['fields'], f'{indent}  ')


def format_field_changes(
    fields: Iterable[Json],
    indent: str = '',
) -> Iterator[str]:
    """Yield a line with the old and the new value of each field."""
    for entry in fields:
        before = format_value(entry['before'])
        after = format_value(entry['after'])
        yield f'{indent}{entry["field"]}: {before} -> {after}'


def format_value(value: Any) -> str:
    """Return a value as JSON, or a dash if the field is not set."""
    return '-' if value is None else json.dumps(value, sort_keys=True)


def format_write_result(answer: Json) -> Iterator[str]:
    """Yield the lines of the result of a write or a dry run."""
    if answer['outcome'] == 'dry-run':
        yield f'dry run: would be revision {answer["revision"]}'
    elif answer['repeated']:
        yield f'accepted before, at revision {answer["revision"]}'
    else:
        yield f'accepted at revision {answer["revision"]}'
    if answer['change']:
        yield from format_field_changes(answer['change']['fields'], '  ')
    for effect in answer.get('effects', ()):
        yield f'  service {effect["service"]}:'
        yield from format_field_changes(effect['fields'], '    ')


def format_table(rows: Iterable[tuple[object, ...]]) -> Iterator[str]:
    """Yield rows with aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    columns = zip(*cells, strict=True)
    widths = [max(map(len, column)) for column in columns]
    for row in cells:
        padded = map(str.ljust, row, widths)
        yield '  '.join(padded).rstrip()
