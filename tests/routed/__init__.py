"""Tests of an entry that serves routes, and of the adapter to the platform."""
