"""Fake peers and builders of test data that several test modules use."""
