"""Settings of the administration API."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

HashField = Annotated[
    str,
    msgspec.Meta(
        pattern=r'\A\$argon2id\$[!-~]{1,200}\Z',
        description='a hash as "carobwalk token bootstrap" prints it',
    ),
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Administration:
    """Access to the administration before any operator is configured.

    Args:
        bootstrap_hash: Hash of the secret of the operator ``bootstrap``, who
            is accepted until another operator exists; ``None`` if there is no
            such operator.
    """

    bootstrap_hash: HashField | None = None
