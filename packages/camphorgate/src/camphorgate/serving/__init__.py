"""Pure decisions of a deployment whose platform keeps configuration and lists."""
