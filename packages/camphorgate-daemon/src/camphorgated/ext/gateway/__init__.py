"""The request path: takes requests of callers and sends them to upstreams."""

from camphorgated.ext.gateway.extension import setup

__all__ = ["setup"]
