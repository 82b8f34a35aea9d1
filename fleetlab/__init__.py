"""Experiments on a fleet of ingresses on one machine: real processes beside hollow ones, against stand-ins
that speak the published protocol, swept over a size, with slopes fitted to what was measured.

`python -m fleetlab list` names the experiments; `python -m fleetlab sweep NAME --over 200,2000,20000` plays
one.
The ingress never imports this package.
"""
