"""Quotas of workspaces over the whole fleet."""
