"""Decision logic without I/O for daemons that a platform hosts."""
