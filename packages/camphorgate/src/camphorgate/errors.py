"""Base of all errors, and the errors of the kernel."""


class CamphorgateError(Exception):
    """An error with a stable code that callers and operators can rely on."""

    code = "internal_error"

    def __init__(self, message: str, code: str | None = None) -> None:
        """Keep the message and, where it differs from the class's, the code.

        :param message: plain text for a person.
        :param code: stable identifier for a program.
        """
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class ExtensionError(CamphorgateError):
    """An extension cannot be loaded or broke the rules of the kernel."""

    code = "extension_error"


class RegistryError(CamphorgateError):
    """A name is missing from a registry, or is registered twice."""

    code = "registry_error"


class SettingsError(CamphorgateError):
    """The settings of a process are missing, unreadable or wrong."""

    code = "settings_error"


class ManifestError(CamphorgateError):
    """A manifest is wrong; carries every problem that was found."""

    code = "manifest_invalid"

    def __init__(self, problems: list) -> None:
        """Keep the problems.

        :param problems: list of :class:`camphorgate.manifest_check.Problem`.
        """
        count = len(problems)
        super().__init__(f"the manifest has {count} error{'s' if count != 1 else ''}")
        self.problems = problems
