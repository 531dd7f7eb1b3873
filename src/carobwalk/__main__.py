"""Entry point of ``python -m carobwalk``."""

from carobwalk.cli import main

if __name__ == '__main__':
    main()
