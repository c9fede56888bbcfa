"""Tests: processes."""
