"""Connections to endpoints: connection pools, exchanges (one attempt each) and health checks."""
