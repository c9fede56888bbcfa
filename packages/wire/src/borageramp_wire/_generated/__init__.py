"""Modules generated from the .proto files."""
