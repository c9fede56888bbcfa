"""Quotas of workspaces: token requests between instances, and their part in serving."""
