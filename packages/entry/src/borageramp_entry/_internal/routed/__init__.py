"""An entry that serves routes and keeps nothing: its tasks and borders."""
