"""Private modules of the settings; import from the package itself."""
