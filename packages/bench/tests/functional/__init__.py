"""Functional tests on real node processes and the stand-ins."""
