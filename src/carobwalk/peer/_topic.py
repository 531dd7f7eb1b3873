"""Names of the kinds of control messages between processes."""

from typing import NewType

Topic = NewType('Topic', str)
