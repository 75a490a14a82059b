"""Base class of all errors, and the errors of the core."""


class CamphorgateError(Exception):
    """An error with a stable code for callers and operators."""

    code = "internal_error"

    def __init__(self, message: str, code: str | None = None) -> None:
        """Store the message and, if it differs from that of the class, the code.

        :param message: human-readable text.
        :param code: stable machine-readable identifier.
        """
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class ExtensionError(CamphorgateError):
    """An extension cannot be loaded, or misuses events or services."""

    code = "extension_error"


class RegistryError(CamphorgateError):
    """A name is not in a registry, or is registered twice."""

    code = "registry_error"


class SettingsError(CamphorgateError):
    """The settings of a process are missing, unreadable or invalid."""

    code = "settings_error"


class ManifestError(CamphorgateError):
    """A manifest is invalid; ``problems`` lists every error that was found."""

    code = "manifest_invalid"

    def __init__(self, problems: list) -> None:
        """Store the problems.

        :param problems: list of :class:`camphorgate.manifest_validation.Problem`.
        """
        count = len(problems)
        super().__init__(f"the manifest has {count} error{'s' if count != 1 else ''}")
        self.problems = problems
