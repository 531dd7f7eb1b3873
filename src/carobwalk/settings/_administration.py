"""Settings of the administration."""

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
    """Access of the first operator.

    Args:
        bootstrap_hash: Hash of the secret of the operator ``bootstrap``, who
            exists until another one does; ``None`` for nobody.
    """

    bootstrap_hash: HashField | None = None
