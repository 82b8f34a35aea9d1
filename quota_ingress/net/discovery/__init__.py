"""The endpoint list: the watch on discovery, its parser, and what operators lay over it."""
