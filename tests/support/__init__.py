"""Peers and builders that test modules share."""
