"""Retrieval of the history and comparison of profiles."""

from typing import Any, TypeAlias

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminCall

Json: TypeAlias = dict[str, Any]


def fetch_changes(
    client: AdminClient,
    subject: str,
    limit: int,
    since: int = 0,
) -> list[Json]:
    """Fetch the latest changes of a subject, newest first.

    Args:
        client: Makes the calls.
        subject: Subject as ``kind/name``.
        limit: Maximum number of changes to return.
        since: Only changes with a higher revision are returned.
    """
    found: list[Json] = []
    query = {'subject': subject}
    while len(found) < limit:
        page = client.request(
            AdminCall(method='GET', path='/v1/history', query=query),
        )
        found.extend(
            change for change in page['changes'] if change['revision'] > since
        )
        before = page['next_before']
        if before is None or before <= since:
            break
        query['before'] = str(before)
    return found[:limit]


def merge_field_changes(changes: list[Json]) -> list[Json]:
    """Combine changes, newest first, into one difference per field."""
    by_field: dict[str, Json] = {}
    for change in reversed(changes):
        for entry in change['fields']:
            known = by_field.setdefault(entry['field'], dict(entry))
            known['after'] = entry['after']
    return [
        by_field[field]
        for field in sorted(by_field)
        if by_field[field]['before'] != by_field[field]['after']
    ]


def compare_resolved(before: Json, after: Json) -> list[Json]:
    """Return the fields whose resolved values differ in two profiles."""
    return [
        {
            'field': field,
            'before': before['resolved'][field],
            'after': after['resolved'][field],
        }
        for field in sorted(after['resolved'])
        if before['resolved'][field] != after['resolved'][field]
    ]
