"""Request path: receives requests from callers and forwards them to upstreams."""

from camphorgated.ext.gateway.extension import setup

__all__ = ["setup"]
