"""The side of the endpoints: connections, the pool of idle ones, exchanges and probes."""
