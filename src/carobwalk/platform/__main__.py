"""Start of a process on the users' platform."""

import importlib
import os
import sys
from pathlib import Path
from typing import Final

from carobwalk._library_lookup import avoid_child_processes

_SETTINGS_VARIABLE: Final = 'CAROBWALK_BOOT'


def main() -> int:
    """Run the process that a settings file describes.

    The file is named by the first argument, else by the platform's variable.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if requests in flight were
        cut off, 2 if the settings can't be used.
    """
    # trio looks up a library when it is imported.
    avoid_child_processes()
    app = importlib.import_module('carobwalk.app')
    named = sys.argv[1] if len(sys.argv) > 1 else None
    path = Path(named or os.environ[_SETTINGS_VARIABLE])
    return int(app.serve_gateway(path))


if __name__ == '__main__':
    sys.exit(main())
