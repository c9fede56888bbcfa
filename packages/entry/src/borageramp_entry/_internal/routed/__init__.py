"""Stateless routed entry: background tasks and HTTP interfaces."""
