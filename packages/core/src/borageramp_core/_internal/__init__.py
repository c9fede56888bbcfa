"""Private modules of the core; import from the package itself."""
