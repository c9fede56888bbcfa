"""Decisions of an entry that serves routes: routes, knowledge, choice, limits."""
