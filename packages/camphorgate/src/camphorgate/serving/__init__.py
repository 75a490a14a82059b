"""Pure decisions of an installation whose platform keeps configuration and lists."""
