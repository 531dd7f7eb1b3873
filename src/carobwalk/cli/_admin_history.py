"""History and differences as commands show them."""

from typing import Any, TypeAlias

from carobwalk.cli._admin_answer import AdminClient
from carobwalk.cli._admin_connection import AdminCall

Json: TypeAlias = dict[str, Any]


def changes_of(
    client: AdminClient,
    subject: str,
    limit: int,
    since: int = 0,
) -> list[Json]:
    """Return the latest changes of a subject, newest first.

    Args:
        client: Makes the calls.
        subject: Kind and name.
        limit: Most changes to return.
        since: Revision that all returned ones are above.
    """
    found: list[Json] = []
    query = {'subject': subject}
    while len(found) < limit:
        page = client.fetch(
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


def net_changes(changes: list[Json]) -> list[Json]:
    """Return the differences that changes, newest first, add up to."""
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
    """Return the differences between two profiles with all fields set."""
    return [
        {
            'field': field,
            'before': before['resolved'][field],
            'after': after['resolved'][field],
        }
        for field in sorted(after['resolved'])
        if before['resolved'][field] != after['resolved'][field]
    ]
