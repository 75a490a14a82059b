"""Errors raised by the serving package."""

from camphorgate.errors import CamphorgateError


class CatalogError(CamphorgateError):
    """A routing configuration or an upstream entry is invalid."""

    code = "catalog_error"
