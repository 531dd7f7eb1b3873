"""A router with a disabled rule: ``python -m soak.planted NAME FILE``."""

import sys

from carobwalk.platform.__main__ import main
from soak._planted import PLANTED_BY_NAME

if __name__ == '__main__':
    PLANTED_BY_NAME[sys.argv.pop(1)].apply()
    sys.exit(main())
