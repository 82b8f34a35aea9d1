"""A soak test: a few dozen real ingresses on loopback, overlapping faults, invariants that judge the run.

`python -m ingress_testbed soak` plays one run a seed. All processes read one clock (CLOCK_MONOTONIC), so what
clients, backends and ingresses record can be compared. The parts: `records`, `backends` and `clients` (worker
processes), `fault_plan` (the schedule), `fault_injector`, `nodes` (ingress processes), `run` (all together),
`judge` (the invariants; pure).
"""
