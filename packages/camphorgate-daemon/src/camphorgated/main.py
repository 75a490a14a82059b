"""Entry point of ``camphorgated``: takes care of signals, then loads the program."""

import sys

from camphorgated.early_signals import hold_reloads


def main(arguments: list[str] | None = None) -> int:
    """Run the program.

    :returns: the exit code.
    """
    hold_reloads()
    # Loading it takes some tenths of a second, in which signals may arrive.
    from camphorgated import program

    return program.main(arguments)


if __name__ == "__main__":
    sys.exit(main())
