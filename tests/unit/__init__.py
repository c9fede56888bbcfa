"""Tests: unit."""
