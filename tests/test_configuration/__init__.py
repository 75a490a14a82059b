"""Tests of configuration versions and their distribution."""
