"""Experiments on a fleet of ingresses on one machine.

Real processes run beside hollow ones against stand-ins that speak the published protocol. An experiment is
swept over a size, and slopes are fitted to what was measured. `python -m ingress_testbed list` names the
experiments; `python -m ingress_testbed sweep NAME --over 200,2000,20000` plays one. The ingress never imports
this package.
"""
