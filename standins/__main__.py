"""Entry point of ``python -m standins``."""

from standins._commands import main

if __name__ == '__main__':
    main(prog_name='python -m standins')
