"""Decisions on rollouts of new software versions, without I/O."""
