"""The schema of frames, compiled by pycapnp when the module is imported."""

from pathlib import Path
from typing import Any

import capnp

_PATH = Path(__file__).with_name('peer.capnp')

schema: Any = capnp.load(str(_PATH))
