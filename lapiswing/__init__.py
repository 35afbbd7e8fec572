"""lapiswing: a router for language-model serving with separate read (prefill) and write (decode) servers."""

__version__ = "0.2.0"
