"""The engine: passes events to the policy and executes its actions on requests, attempts and timers."""
