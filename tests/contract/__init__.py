"""Tests: contract."""
