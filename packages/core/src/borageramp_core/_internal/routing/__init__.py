"""Routing logic of an entry: route matching, fleet state, placement and limits."""
