"""The endpoint list: the watch on discovery, the parser of its documents, and operators' overrides."""
