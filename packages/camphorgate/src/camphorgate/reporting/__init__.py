"""Request statistics for the operators' report, computed without I/O."""
