"""Stand-ins for the services that an ingress depends on: discovery, the counter, backends.

They follow the documented protocols and listen on loopback only.
"""
