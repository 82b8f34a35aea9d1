"""Plays one real ingress among many slow peers: clients and backends that write, read or stop as drawn.

The play is judged by the limit on memory, by the time of each final answer, and by whether an answer that its
backend still gives is passed on.
"""
