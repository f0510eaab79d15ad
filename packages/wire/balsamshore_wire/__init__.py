"""Messages between balsamshore nodes: schema, codec, authentication."""
