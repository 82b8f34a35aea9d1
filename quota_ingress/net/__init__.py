"""The ingress's network code: sockets around the policy in `quota_ingress.policy`."""
