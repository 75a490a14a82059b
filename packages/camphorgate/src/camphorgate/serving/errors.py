"""Errors of the serving decisions."""

from camphorgate.errors import CamphorgateError


class CatalogError(CamphorgateError):
    """A routing configuration or an upstream entry cannot be used."""

    code = "catalog_error"
