"""Errors of the configuration."""

from camphorgate.errors import CamphorgateError


class ConflictError(CamphorgateError):
    """A submission is based on a version that is not the newest one."""

    code = "conflict"

    def __init__(self, base: int, current: int, changes: list[str]) -> None:
        """Keep what changed since the base version.

        :param base: the version that the submission is based on.
        :param current: the newest version.
        :param changes: one line for each difference.
        """
        super().__init__(f"based on version {base}, but version {current} is newest")
        self.base = base
        self.current = current
        self.changes = changes


class SubmissionError(CamphorgateError):
    """A submission certainly had no effect, for the reason in the code."""

    code = "submission_failed"


class OutcomeUnknownError(CamphorgateError):
    """Whether a submission took effect could not be found out in time."""

    code = "outcome_unknown"


class PartError(CamphorgateError):
    """A part of a configuration is missing, damaged or too large."""

    code = "part_error"
