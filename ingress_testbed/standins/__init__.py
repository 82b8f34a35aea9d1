"""What an ingress leans on, as far as the protocol goes: discovery, the counter, backends. Loopback only."""
