"""The verbs, one module each."""
