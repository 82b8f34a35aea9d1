"""Requests, attempts and timers: events to the policy, its actions carried out."""
