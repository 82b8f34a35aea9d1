"""An HTTP/1.1 ingress that enforces customers' quotas across a fleet of gateways."""
