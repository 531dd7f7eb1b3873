"""Identity of a request across repeats."""

from dataclasses import dataclass

import xxhash

from carobwalk.dispatch._suspect import SuspectId
from carobwalk.model import RequestHead

PREFIX_BYTES = 16_384
_SEPARATOR = '\0'
# Digests must fit into a signed 64-bit integer in the snapshot.
_DIGEST_BITS = 63
_DIGEST_MASK = (1 << _DIGEST_BITS) - 1


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Properties that stay the same when a caller repeats a request.

    Args:
        head: Digest of its idempotency key, or of method, target and key.
        covers_body: Whether the identity includes the start of the body;
            false for a request with an idempotency key.
    """

    head: int
    covers_body: bool

    def suspect_id(self, prefix: bytes) -> SuspectId:
        """Return the identity, including the start of the body if covered.

        Args:
            prefix: First bytes of the body.
        """
        covered = prefix if self.covers_body else b''
        return SuspectId(
            head=self.head,
            length=len(covered),
            body=_digest(covered),
        )


def identity_of(head: RequestHead) -> RequestIdentity:
    """Return the identity of a request."""
    if head.idempotency_key is None:
        own = f'{head.method}{_SEPARATOR}{head.target}'
    else:
        own = head.idempotency_key
    names = (head.service, head.key or '', own)
    return RequestIdentity(
        head=_digest(_SEPARATOR.join(names).encode()),
        covers_body=head.idempotency_key is None,
    )


def _digest(text: bytes) -> int:
    return xxhash.xxh3_64_intdigest(text) & _DIGEST_MASK
