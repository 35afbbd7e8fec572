"""lapiswing: a router for language-model servers that read and write in two stages."""

__version__ = "0.2.0"
