"""Control of the fleet: configuration, list of entries, heartbeats."""
