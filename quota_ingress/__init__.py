"""An HTTP/1.1 ingress that holds customers' quotas over a fleet of gateways."""
