"""Tests: lib."""
