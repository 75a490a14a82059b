"""Errors of the operators' command, each with its exit code."""

from camphorgate.errors import CamphorgateError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5


class CommandError(CamphorgateError):
    """The command failed."""

    code = "command_failed"
    exit_code = EXIT_FAILED

    def __init__(self, message: str, answer: dict | None = None) -> None:
        """Store the message and the daemon's answer.

        :param answer: decoded error of the daemon, for ``--json``.
        """
        super().__init__(message)
        self.answer = answer or {}


class UnreachableError(CommandError):
    """No daemon responds at the address."""

    code = "unreachable"
    exit_code = EXIT_UNREACHABLE


class ConflictError(CommandError):
    """Another manifest was accepted since the base version."""

    code = "conflict"
    exit_code = EXIT_CONFLICT


class NotInForceError(CommandError):
    """The manifest was written but not in force everywhere in time."""

    code = "not_in_force"
    exit_code = EXIT_NOT_IN_FORCE
