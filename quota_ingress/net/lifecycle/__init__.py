"""Start, reload, graceful shutdown and upgrade of the process."""
