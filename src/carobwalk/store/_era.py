"""Eras of a store that may be restored from an older copy of itself.

After a restore, the store issues revisions and leases again that it had issued
before. Together with the era, which rises with each restore, they are unique
and ordered.
"""

from typing import Final

from carobwalk.store._store import LeaseId

# Joined revisions have 53 bits, which JSON readers represent exactly.
_REVISION_BITS: Final = 40
_ERA_BITS: Final = 13
_REVISIONS_PER_ERA: Final = 1 << _REVISION_BITS
MAX_ERA: Final = (1 << _ERA_BITS) - 1
_SEPARATOR: Final = '.'


def join_revision(era: int, revision: int) -> int:
    """Return a revision that orders by era first; 0 stays 0.

    Args:
        era: Era in which the store issued the revision.
        revision: Revision within the era.
    """
    return era * _REVISIONS_PER_ERA + revision if revision else 0


def split_revision(joined: int) -> tuple[int, int]:
    """Return the era and the revision within it."""
    return divmod(joined, _REVISIONS_PER_ERA)


def era_of_revision(joined: int) -> int:
    """Return the era in which a revision was issued."""
    return split_revision(joined)[0]


def join_lease(era: int, number: int) -> LeaseId:
    """Return the identity of a lease; in era 0 it is its number.

    Args:
        era: Era in which the store opened the lease.
        number: Number of the lease within the era.
    """
    if not era:
        return LeaseId(str(number))
    return LeaseId(f'{era}{_SEPARATOR}{number}')


def split_lease(lease: LeaseId) -> tuple[int, int]:
    """Return the era and the number of a lease."""
    era, _, number = lease.rpartition(_SEPARATOR)
    return int(era or 0), int(number)


def era_of_lease(lease: LeaseId) -> int:
    """Return the era in which a lease was opened, 0 if it names none."""
    era, _, _ = lease.rpartition(_SEPARATOR)
    return int(era) if era.isdecimal() else 0
