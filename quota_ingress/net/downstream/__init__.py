"""The side of the clients: listening, connections, requests as they are read, draining."""
