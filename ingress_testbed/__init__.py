"""Experiments on a fleet of ingresses on one machine.

Real ingress processes run beside hollow ones (many to a process, without sockets for clients and backends)
against stand-ins that speak the published protocol. An experiment is swept over a size, and a line is fitted
to each figure. `python -m ingress_testbed list` lists the experiments;
`python -m ingress_testbed sweep NAME --over 200,2000,20000` runs one. The ingress never imports this package.
"""
