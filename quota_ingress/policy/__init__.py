"""Every decision of the gateway: no I/O, no clock and no process-wide state."""
