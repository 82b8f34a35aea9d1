"""All decisions of the gateway, free of I/O, clock reads and process-wide state."""
