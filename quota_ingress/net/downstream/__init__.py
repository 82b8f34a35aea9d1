"""Client connections: the listener, request parsing, responses, timeouts and draining."""
