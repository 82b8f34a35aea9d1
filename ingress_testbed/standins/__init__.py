"""Stand-ins for the services that an ingress depends on: discovery, the counter, backends.

They keep the protocol page and listen on loopback only.
"""
