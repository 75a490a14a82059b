"""Errors of configuration submissions and parts."""

from camphorgate.errors import CamphorgateError


class ConflictError(CamphorgateError):
    """A submission is not based on the newest version."""

    code = "conflict"

    def __init__(self, base: int, current: int, changes: list[str]) -> None:
        """Create an error that carries the changes since the base version.

        :param base: the version that the submission is based on.
        :param current: the newest version.
        :param changes: one line for each difference.
        """
        super().__init__(f"based on version {base}, but version {current} is newest")
        self.base = base
        self.current = current
        self.changes = changes


class SubmissionError(CamphorgateError):
    """A submission certainly had no effect; the code tells the reason."""

    code = "submission_failed"


class OutcomeUnknownError(CamphorgateError):
    """It could not be determined in time whether a submission took effect."""

    code = "outcome_unknown"


class PartError(CamphorgateError):
    """A part of a configuration is missing, damaged or too large."""

    code = "part_error"
