"""Tests of borageramp."""
